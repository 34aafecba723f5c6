#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "forward/EntryWeights.h"

#include <cstdint>
#include <map>
#include <string>

namespace siskinshunt {

/// Report of an entry node to the voters.
struct NodeCapacityFrame {
    uint64_t process = 0; ///< Distinguishes processes of the same name; see processOf().
    double cpuShare = 0; ///< As EntryCapacity; 0 stands for unknown.
    double linkMbps = 0;
    uint64_t latenessMs = 0; ///< Mean since the last report.
    uint64_t inFlight = 0; ///< Requests in progress.

    template <class Archive>
    void serialize(Archive& archive) { archive(process, cpuShare, linkMbps, latenessMs, inFlight); }
};

/// What a voter knows of an entry node from its reports.
struct EntryReports {
    uint64_t process = 0; ///< That the node is known by.
    TimeMs knownSince; ///< When this process of the node became known.
    bool reports = false; ///< Whether this process of the node has ever reported here.
    TimeMs clockOffset; ///< Least difference between the time of receipt and the time of sending; grows slowly, as clocks drift.
    TimeMs offsetAt; ///< When the last report was received.
    TimeMs sentAt; ///< When the last report was sent, by the clock of this node.
    EntryCapacity capacity;
    TimeMs lateness;
    uint64_t inFlight = 0;
    EntryStanding standing;
    double weight = 1;
    bool isLate = false; ///< Whether it is logged as late.
};

/// State of the reports, both of an entry node and of a voter.
struct NodeCapacityState {
    LatenessMeter lateness; ///< Of this node.
    TimeMs nextReport;
    // Used by a voter.
    std::map<NodeId, EntryReports> entries; ///< Live entry nodes.
    std::map<std::string, DomainWeight> domains;
    std::map<std::string, TimeMs> shortSince; ///< By failure domain that names nodes of other domains.
    ClientAddresses clients;
    TimeMs nextUpdate;
    TimeMs listeningSince; ///< Silence before this time may be due to this node itself: it was cut off or paused.
};

}
