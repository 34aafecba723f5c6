#pragma once

#include "api/HttpMessage.h"
#include "control/ControlCommand.h"
#include "fleet/Upstream.h"
#include "forward/HeaderNames.h"

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace siskinshunt {

// Calls that a platform makes in a language of its own. A dialect translates them; the node decides.

/// The call cannot be read, or asks for something that does not exist.
struct BadCall {
    uint16_t status = 400;
    std::string message;
};

struct PutConfigurationCall {
    uint64_t number = 0;
    std::string rules; ///< The configuration as rules.
    std::string original; ///< As received.
};

struct ReadConfigurationCall { };

struct OrderVersionCall {
    std::string backend;
    std::string target;
    TimeMs within;
};

struct ReadVersionCall {
    std::string backend;
};

/// An upstream tells of itself.
struct AnnounceCall {
    Announcement announcement;
};

/// An upstream is about to end. Its name is all that is known of it.
struct LeaveCall {
    std::string name;
};

/// A caller asks for entry addresses.
struct EntriesCall {
    std::string domain; ///< Of the caller.
};

using ControlCall = std::variant<BadCall, PutConfigurationCall, ReadConfigurationCall, OrderVersionCall, ReadVersionCall, AnnounceCall, LeaveCall, EntriesCall>;

/// What the holder of a duty says with each call.
struct DutyHolder {
    std::string name; ///< Of the node.
    uint64_t fencing = 0; ///< Rises with each holder.
};

struct UsageReport {
    int64_t window = 0;
    std::map<std::string, uint64_t> counts; ///< By client account.
};

/// How many instances of a backend are wanted in a failure domain.
struct ScaleOrder {
    std::string backend;
    std::string domain;
    uint32_t wanted = 0;
    bool reclaimable = false;

    auto operator<=>(const ScaleOrder&) const = default;
};

/// Translation between a platform's calls and the node's terms. Holds no state and takes no decision.
struct Dialect {
    HeaderNames headers;
    std::function<ControlCall(const HttpRequest&, const std::string& peer)> decode;
    std::function<std::string(const std::vector<std::string>& addresses, TimeMs valid)> entriesBody;
    std::function<std::string(const VersionOrder&)> versionBody;
    std::function<HttpRequest(const DutyHolder&, const UsageReport&)> usageRequest;
    std::function<HttpRequest(const DutyHolder&, const ScaleOrder&)> scaleRequest;
};

}
