#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <algorithm>
#include <array>
#include <map>
#include <string>
#include <vector>

namespace siskinshunt {

/// Levels of urgency, 0 first.
constexpr int urgencyLevels = 10;

/// Requests at an upstream, as one node or all others together count them.
struct TargetLoad {
    double running = 0; ///< Sent and not ended.
    std::array<double, urgencyLevels> prefillTokens {}; ///< Prompt tokens of these that wait to be read, by urgency.

    TargetLoad& operator+=(const TargetLoad& other)
    {
        running += other.running;
        for (size_t n = 0; n < prefillTokens.size(); ++n)
            prefillTokens[n] += other.prefillTokens[n];
        return *this;
    }
    TargetLoad& operator-=(const TargetLoad& other)
    {
        // Sums of rounded reports end a little below zero.
        running = std::max(0.0, running - other.running);
        for (size_t n = 0; n < prefillTokens.size(); ++n)
            prefillTokens[n] = std::max(0.0, prefillTokens[n] - other.prefillTokens[n]);
        return *this;
    }
    /// Prompt tokens that an engine reads before those of a request of this urgency.
    double prefillTokensUpTo(int urgency) const
    {
        double sum = 0;
        for (int n = 0; n <= urgency; ++n)
            sum += prefillTokens[static_cast<size_t>(n)];
        return sum;
    }
};

/// An upstream as this node's forwarding sees it: what it announced, the load sent to it, and how it answered.
struct ForwardTarget {
    UpstreamId id;
    std::string name;
    std::string address; ///< "IP:PORT".
    std::string domain;
    std::string version;
    std::string backend;
    uint64_t incarnation = 0;
    uint32_t slots = 1;
    bool engine = false; ///< Reads prompts and answers by tokens.
    bool reclaimable = false;
    bool leaving = false; ///< Wants no new work.
    TimeMs lastSeen; ///< Of its announcements, here or at another node.

    TargetLoad own;
    TargetLoad others;

    TimeMs lastByteAt; ///< Of any answer to this node.
    int failuresInRow = 0;
    double failureRate = 0; ///< Moving average over its answers.
    double failureRateWeight = 0; ///< Weight of the average, up to its memory.
    TimeMs backoffUntil; ///< Gets no work before, unless all others are avoided, too.
    TimeMs backoffDuration; ///< Length of the last avoidance, which doubles with each.
};

/// All upstreams of the forwarding rules.
struct ForwardTargets {
    std::map<UpstreamId, ForwardTarget> entries;
    std::map<std::string, std::vector<UpstreamId>, std::less<>> byBackend;
    /// By node: the load that it reported last, subtracted again when it reports anew or goes.
    std::map<NodeId, std::map<UpstreamId, TargetLoad>> reported;
    std::map<NodeId, TimeMs> reportedAt;
};

/// Announced state of a target; load and health of a known incarnation stay.
ForwardTarget& upsertTarget(ForwardTargets&, const ForwardTarget& announced);
void removeTarget(ForwardTargets&, UpstreamId);
ForwardTarget* findTarget(ForwardTargets&, UpstreamId);

/// Replaces what a node reported of its load.
void applyLoadReport(ForwardTargets&, TimeMs now, NodeId, const std::map<UpstreamId, TargetLoad>&);
/// Takes a report of all other nodes' load together, in place of every other report.
void applyFleetLoadReport(ForwardTargets&, TimeMs now, NodeId from, const std::map<UpstreamId, TargetLoad>& loads);
/// Drops reports of nodes that have not been heard of for this long.
void expireLoadReports(ForwardTargets&, TimeMs now, TimeMs silence);

/// How a request ended at a target, as far as it speaks for or against the target.
enum class TargetOutcome : uint8_t {
    Answered,
    Failed, ///< An error of the upstream, or an answer that is not one.
    Refused, ///< Not run: full or not the upstream that was meant.
    Unreachable, ///< No connection, or one that broke without an answer.
};

/// Notes the outcome and decides how long the target is avoided.
void recordOutcome(ForwardTarget&, TimeMs now, TargetOutcome);

}
