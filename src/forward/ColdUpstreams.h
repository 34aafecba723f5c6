#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "wire/Compact.h"

#include <cstdint>
#include <functional>
#include <map>
#include <vector>

namespace siskinshunt {

// Which upstreams count as cold: those that have just started, and those that say so in their announcements.

/// What this node knows of one upstream. Times are of this node's clock.
struct ColdState {
    uint64_t incarnation = 0;
    TimeMs seenAt; ///< First sight of the incarnation, or the first statement on it.
    bool presentAtStart = false; ///< Seen soon after this node started, so that `seenAt` tells nothing of its start.
    bool stated = false; ///< It has made a statement, or only statements after `statedAt` count.
    TimeMs statedAt;
    TimeMs statedUntil; ///< Cold before this time, according to the statement.
    TimeMs knownAt; ///< Last time at which the upstream was known or a statement on it arrived.
};

using ColdStates = std::map<UpstreamId, ColdState>;

/// Statement of an upstream on how long it stays cold, as told between nodes.
struct ReportedCold {
    UpstreamId upstream;
    uint64_t incarnation = 0;
    uint64_t remainingMs = 0; ///< When the statement was made; 0: it is not cold.
    uint64_t ageMs = 0; ///< Time since the statement.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(upstream, incarnation);
        serializeVarint(archive, remainingMs);
        serializeVarint(archive, ageMs);
    }
};

/// Records that the upstream is known with this incarnation. An incarnation that the state is not of replaces it, unless it is earlier.
void observeIncarnation(ColdState&, TimeMs now, uint64_t incarnation, TimeMs nodeStartedAt);
/// Applies a statement that is newer than the known ones. Returns whether it was news: the first one of the incarnation, or a different end.
bool applyStatement(ColdState&, TimeMs now, const ReportedCold&);
/// The upstream counts as cold for the duration, until a statement made after `now` says otherwise.
void requireStatement(ColdState&, TimeMs now, TimeMs duration);
/// End of the cold time: as stated, or `duration` after the first sight of the incarnation. In the past for an upstream that was there when
/// this node started and had started long before; incarnations are start times in Unix ms.
TimeMs coldUntil(const ColdState&, TimeMs duration);
/// The last statement, as told to other nodes.
ReportedCold reportedCold(const ColdState&, UpstreamId, TimeMs now);
/// Forgets upstreams that have not been known for long.
void expireColdStates(ColdStates&, TimeMs now);

/// Nodes that send to upstreams, with the last time at which each was seen to.
using ColdSenders = std::map<NodeId, TimeMs>;

/// Records the nodes that send now and returns those that count for the shares of cold upstreams. A node that is not seen any more may
/// be on the other side of a network partition and still send, so it counts for some minutes more, unless `hasLeft` says that it does not send.
std::vector<NodeId> recordSenders(ColdSenders&, TimeMs now, const std::vector<NodeId>& sending, const std::function<bool(NodeId)>& hasLeft);

}
