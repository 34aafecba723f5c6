#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "forward/BrittleLimit.h"
#include "forward/TargetLimit.h"

#include <algorithm>
#include <array>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

/// Number of urgency levels; level 0 is the most urgent.
constexpr int urgencyLevels = 10;

/// Load that one node, or all other nodes together, have sent to an upstream.
struct TargetLoad {
    double running = 0; ///< Requests in flight.
    std::array<double, urgencyLevels> prefillTokens {}; ///< Prompt tokens of these requests that wait for prefill, by urgency.

    TargetLoad& operator+=(const TargetLoad& other)
    {
        running += other.running;
        for (size_t n = 0; n < prefillTokens.size(); ++n)
            prefillTokens[n] += other.prefillTokens[n];
        return *this;
    }
    TargetLoad& operator-=(const TargetLoad& other)
    {
        // Rounding in the reports can make the difference slightly negative.
        running = std::max(0.0, running - other.running);
        for (size_t n = 0; n < prefillTokens.size(); ++n)
            prefillTokens[n] = std::max(0.0, prefillTokens[n] - other.prefillTokens[n]);
        return *this;
    }
    /// Prompt tokens that an engine prefills before those of a new request of this urgency.
    double prefillTokensUpTo(int urgency) const
    {
        double sum = 0;
        for (int n = 0; n <= urgency; ++n)
            sum += prefillTokens[static_cast<size_t>(n)];
        return sum;
    }
};

/// An upstream as the target of forwarded requests: its announcement, the load sent to it, and its health.
struct ForwardTarget {
    UpstreamId id;
    std::string name;
    std::string address; ///< "IP:PORT".
    std::string domain;
    std::string region; ///< Of the failure domain; empty if unknown.
    std::string version;
    std::string backend;
    uint64_t incarnation = 0;
    uint32_t slots = 1;
    bool engine = false; ///< Serves a language model: prefills prompts and generates tokens.
    bool reclaimable = false;
    bool leaving = false; ///< Accepts no new requests.
    bool evacuated = false; ///< Its failure domain gets no new requests.
    bool answersLeaving = false; ///< Has said in an answer to this node that it leaves.
    uint64_t sequence = 0; ///< Of its last known announcement.
    bool local = false; ///< Announces itself to this node.
    TimeMs lastSeen; ///< Last announcement, to this or another node.

    TargetLoad own;
    TargetLoad others;

    bool addressTaken = false; ///< An upstream with a later incarnation holds the address; the target gets no requests.
    std::optional<uint64_t> misdirectedSequence; ///< Last announcement before another upstream answered at its address.
    TimeMs lastByteAt; ///< Of any response to this node.
    int failuresInRow = 0;
    double failureRate = 0; ///< Moving average over its responses.
    double failureRateWeight = 0; ///< Number of responses in the average, limited to its time constant.
    TimeMs backoffUntil; ///< Gets no requests before, unless all other targets are backed off, too.
    TimeMs backoffDuration; ///< Length of the last backoff; doubles each time.
    bool unreached = false; ///< The last attempt found no connection.
    TimeMs probeUntil; ///< While unreached: a request tries it, and others do not wait for the same.
    TimeMs pausedUntil; ///< It has refused a request of this node and wants none before.
    TargetLimit limit;
    BrittleLimit brittle;
};

/// All upstreams of the forwarding rules.
struct ForwardTargets {
    std::map<UpstreamId, ForwardTarget> entries;
    std::map<std::string, std::vector<UpstreamId>, std::less<>> byBackend;
    /// Last reported load by node, subtracted when the node reports again or expires.
    std::map<NodeId, std::map<UpstreamId, TargetLoad>> reported;
    std::map<NodeId, TimeMs> reportedAt;
};

/// Inserts or updates the announced state of a target. Its load is kept, and its health if the incarnation is the same.
ForwardTarget& upsertTarget(ForwardTargets&, const ForwardTarget& announced);
void removeTarget(ForwardTargets&, UpstreamId);
ForwardTarget* findTarget(ForwardTargets&, UpstreamId);
/// Whether any target has this address.
bool isAddressKnown(const ForwardTargets&, const std::string& address);

/// Records that another upstream has answered at its address. The target gets no requests before an announcement with a higher
/// sequence, which is that of the last one when the request was sent.
void recordMisdirected(ForwardTargets&, ForwardTarget&, uint64_t sequence, TimeMs now);
/// Whether recordMisdirected() excludes it.
bool isMisdirected(const ForwardTarget&);

/// Replaces the load that a node reported.
void applyLoadReport(ForwardTargets&, TimeMs now, NodeId, const std::map<UpstreamId, TargetLoad>&);
/// Replaces all reports by one that sums the load of all other nodes.
void applyFleetLoadReport(ForwardTargets&, TimeMs now, NodeId from, const std::map<UpstreamId, TargetLoad>& loads);
/// Removes the reports of nodes that have not reported for longer than `silence`.
void expireLoadReports(ForwardTargets&, TimeMs now, TimeMs silence);

/// How much of a backend a node reaches.
enum class ReachedShare : uint8_t {
    None, ///< No target.
    Few, ///< Less than half of the targets, so that other nodes are likely to reach more of them.
    Most,
};

/// How many of the targets of the backend that announce themselves this node reaches. `staleAfter`: silence after which a target counts
/// as gone.
ReachedShare reachedShare(const ForwardTargets&, const std::string& backend, TimeMs now, TimeMs staleAfter);
/// Forgets that targets of the backend were not reached: one that was not reached has answered, so the network works again.
void clearUnreached(ForwardTargets&, const std::string& backend);

/// How a request ended at a target, as far as it affects the target's health.
enum class TargetOutcome : uint8_t {
    Answered,
    Failed, ///< An error of the upstream, or an invalid response.
    Refused, ///< Not executed: the upstream is full or not the intended one.
    Unreachable, ///< No connection, or one that closed before a response.
};

/// Records the outcome and sets the backoff of the target.
void recordOutcome(ForwardTarget&, TimeMs now, TargetOutcome);

}
