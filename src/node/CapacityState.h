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
    DispatchId dispatch = 0; ///< 0: none under way.
    TimeMs requestedAt;
    uint16_t status = 0;
    std::string body;
    std::string problem; ///< Of the last answer; empty after a good one.
};

/// What the decision leader knows of the platform and plans; reset when the lead changes.
struct CapacityState {
    std::map<PlatformList, PlatformPoll> polls;
    std::vector<PlatformPrice> prices;
    std::optional<TimeMs> pricesAt; ///< When they were asked for, as below.
    std::vector<PlatformNotice> notices;
    std::set<std::string> recordedNotices; ///< Instances whose notice is in the reclaim history.
    std::vector<PlatformInstance> instances;
    std::optional<TimeMs> instancesAt;
    std::map<std::string, TimeMs> silentSince; ///< Instances that are listed as running and do not announce themselves.
    std::map<NodeId, DemandReport> demand;
    std::map<std::pair<std::string, std::string>, InstanceShape> shapes; ///< By machine and model, as announced.
    std::map<std::pair<std::string, std::string>, TimeMs> startTimes; ///< By machine and model, measured.
    CapacityPlanner planner;
    struct PendingStop {
        PoolKey pool;
        std::string reason;
    };
    std::map<std::string, PendingStop> pendingStops; ///< By instance, until the intent is recorded.
    std::set<std::string> pendingProposals; ///< Intents with a command under way.
    std::set<std::string> reportedNotes; ///< Codes that the last plan gave, so that one that lasts is logged once.
    uint64_t plannedRevision = 0; ///< Of the rules of the last plan.
    uint64_t epoch = 0; ///< For which the intents have been restored.
    TimeMs restoredAt;
    TimeMs nextPlan;
};

}
