#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <map>
#include <vector>

namespace siskinshunt {

/// Tells that an upstream accepts no new requests.
struct LeavingNotice {
    UpstreamId upstream;
    uint64_t incarnation = 0; ///< Applies to this incarnation and all earlier ones.

    template <class Archive>
    void serialize(Archive& archive) { archive(upstream, incarnation); }
};

/// Leaving notices that a node knows, numbered in the order in which it learned of them, so that another node can ask for
/// those after the last one that it has received.
struct LeavingNotices {
    struct Entry {
        uint64_t incarnation = 0;
        uint64_t number = 0;
        TimeMs recordedAt;
    };

    std::map<UpstreamId, Entry> entries;
    uint64_t lastNumber = 0;
};

struct NoticeRange {
    std::vector<LeavingNotice> notices;
    uint64_t lastNumber = 0; ///< Of the last one in the range.
};

/// Records a notice; one that is known is kept for longer. Returns whether it is new.
bool recordNotice(LeavingNotices&, TimeMs now, const LeavingNotice&);
bool isNoticeRecorded(const LeavingNotices&, UpstreamId, uint64_t incarnation);
/// The notices with higher numbers, from the lowest, at most `limit`.
NoticeRange noticesAfter(const LeavingNotices&, uint64_t number, size_t limit);
/// Removes notices that were recorded longer ago than `retention`.
void expireNotices(LeavingNotices&, TimeMs now, TimeMs retention);

}
