#pragma once

#include "base/Ids.h"
#include "forward/FairAdmission.h"
#include "wire/Compact.h"

#include <array>
#include <cmath>
#include <map>
#include <string>
#include <vector>

namespace siskinshunt {

/// Rates of work by urgency, in a few bytes: rounded, and levels without work are left out.
struct CompactWork {
    std::array<uint64_t, urgencyLevels> levels {};

    template <class Archive>
    void serialize(Archive& archive)
    {
        uint64_t mask = 0;
        for (size_t n = 0; n < levels.size(); ++n)
            mask |= static_cast<uint64_t>(levels[n] ? 1 : 0) << n;
        serializeVarint(archive, mask);
        for (size_t n = 0; n < levels.size(); ++n) {
            if (mask >> n & 1)
                serializeVarint(archive, levels[n]);
        }
    }
};

/// Work for one backend as one node or the nodes of a failure domain meter it.
struct ReportedWork {
    std::string backend;
    std::map<std::string, CompactWork> offered; ///< ms/s by account.
    CompactWork served; ///< ms/s.
    CompactWork targets; ///< As BackendWork::targets.

    template <class Archive>
    void serialize(Archive& archive) { archive(backend, offered, served, targets); }
};

/// Work that a node, or the nodes of a failure domain, meter.
struct AccountDemandFrame {
    std::vector<ReportedWork> backends;

    template <class Archive>
    void serialize(Archive& archive) { archive(backends); }
};

/// Admitted parts at one backend that is, or was until now, under pressure.
struct ReportedShares {
    std::string backend;
    std::map<std::string, std::array<uint8_t, urgencyLevels>> parts; ///< By account; 255 stands for all of the work.

    template <class Archive>
    void serialize(Archive& archive) { archive(backend, parts); }
};

struct AccountSharesFrame {
    std::vector<ReportedShares> backends;

    template <class Archive>
    void serialize(Archive& archive) { archive(backends); }
};

/// State of fair sharing, both of an entry node and of a node that computes shares.
struct FairShareState {
    struct Report {
        std::map<std::string, BackendWork> backends;
        TimeMs at;
    };

    std::map<std::string, WorkMeter> meters; ///< By backend: work offered at this node.
    std::map<std::string, ShareLimiter> limiters; ///< By backend.
    std::map<std::string, std::map<std::string, TimeMs>> limitedAt; ///< By backend and account: last refusal, while it is limited.
    TimeMs nextReport;
    // Used by a node that computes shares.
    std::map<NodeId, Report> reporters; ///< Nodes that report to this one.
    std::map<NodeId, Report> otherHubs;
    std::map<std::string, BackendWork> total; ///< Of all nodes, as last computed, by backend.
    std::map<std::string, BackendPressure> pressure; ///< By backend.
};

}
