#pragma once

#include "base/EnumNames.h"
#include "base/Error.h"
#include "base/TimeMs.h"

#include <array>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// Price of an instance on the platform.
struct PlatformPrice {
    std::string domain;
    std::string machine;
    bool reclaimable = true;
    double perHour = 0;
};

enum class PlatformState : uint8_t {
    Starting,
    Running,
    Stopped,
};

template <>
inline constexpr auto enumNames<PlatformState> = std::to_array<EnumName<PlatformState>>({
    { PlatformState::Starting, "starting" },
    { PlatformState::Running, "running" },
    { PlatformState::Stopped, "stopped" },
});

/// Instance in the platform's list.
struct PlatformInstance {
    std::string id;
    std::string domain;
    std::string machine;
    std::string model; ///< Empty if not given by the platform.
    std::string version;
    bool reclaimable = true;
    PlatformState state = PlatformState::Starting;

    bool operator==(const PlatformInstance&) const = default;
};

/// Notice that the platform reclaims the instance after `reclaimIn`.
struct PlatformNotice {
    std::string id;
    TimeMs reclaimIn;
};

/// Maximum size of a platform response.
constexpr size_t maxPlatformBytes = 4 << 20;

/// Parse the responses to GET /prices, /instances and /notices: an object with a list of that name of at most 10,000 items.
/// Other members are ignored. Fail with Invalid or TooLarge and a message that names the item and member.
Result<std::vector<PlatformPrice>> parsePrices(std::string_view body);
Result<std::vector<PlatformInstance>> parseInstances(std::string_view body);
Result<std::vector<PlatformNotice>> parseNotices(std::string_view body);

}
