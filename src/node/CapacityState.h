#pragma once

#include "api/PlatformJson.h"
#include "capacity/Capacity.h"
#include "node/DemandFlow.h"
#include "node/NodeIo.h"

#include <array>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace siskinshunt {

enum class PlatformList : uint8_t {
    Prices,
    Notices,
    Instances,
};

template <>
inline constexpr auto enumNames<PlatformList> = std::to_array<EnumName<PlatformList>>({
    { PlatformList::Prices, "prices" },
    { PlatformList::Notices, "notices" },
    { PlatformList::Instances, "instances" },
});

/// The latest request for one list of the platform.
struct PlatformPoll {
    DispatchId dispatch = 0; ///< 0: no request in flight.
    TimeMs requestedAt;
    uint16_t status = 0;
    std::string body;
    std::string problem; ///< Of the last response; empty if it was valid.
};

/// Platform state and capacity plans of the decision leader; reset when the leadership changes.
struct CapacityState {
    std::map<PlatformList, PlatformPoll> polls;
    std::vector<PlatformPrice> prices;
    std::optional<TimeMs> pricesAt; ///< When the prices were requested.
    std::vector<PlatformNotice> notices;
    std::set<std::string> recordedNotices; ///< Instances whose notice has been added to the reclaim history.
    std::vector<PlatformInstance> instances;
    std::optional<TimeMs> instancesAt; ///< When the list was requested.
    std::map<std::string, TimeMs> silentSince; ///< Instances that are listed as running but do not announce themselves.
    std::map<NodeId, DemandReport> demand;
    std::map<std::pair<std::string, std::string>, InstanceShape> shapes; ///< By machine and model, as announced.
    std::map<std::pair<std::string, std::string>, TimeMs> startTimes; ///< By machine and model, measured.
    CapacityPlanner planner;
    struct PendingStop {
        PoolKey pool;
        std::string reason;
    };
    std::map<std::string, PendingStop> pendingStops; ///< By instance, until the intent is recorded.
    std::set<std::string> pendingProposals; ///< Ids of intents with a proposal in flight.
    std::set<std::string> reportedNotes; ///< Keys of the last plan's notes, so that a note that persists is logged once.
    uint64_t plannedRevision = 0; ///< Rules revision that the last plan used.
    uint64_t epoch = 0; ///< Epoch for which the intents have been restored.
    TimeMs restoredAt;
    TimeMs nextPlan;
};

}
