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

/// Instance that the platform lists.
struct PlatformInstance {
    std::string id;
    std::string domain;
    std::string machine;
    std::string model; ///< Empty if the platform does not say.
    std::string version;
    bool reclaimable = true;
    PlatformState state = PlatformState::Starting;

    bool operator==(const PlatformInstance&) const = default;
};

/// The platform takes the instance after that time.
struct PlatformNotice {
    std::string id;
    TimeMs reclaimIn;
};

/// Longest answer of the platform that is read.
constexpr size_t maxPlatformBytes = 4 << 20;

/// These read the answers to GET /prices, /instances and /notices: an object with one list of that name, of at most 10,000
/// items. Other members are ignored. Fails with Invalid or TooLarge and a sentence that names the item and member.
Result<std::vector<PlatformPrice>> parsePrices(std::string_view body);
Result<std::vector<PlatformInstance>> parseInstances(std::string_view body);
Result<std::vector<PlatformNotice>> parseNotices(std::string_view body);

}
