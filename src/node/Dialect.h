#pragma once

#include "api/HttpMessage.h"
#include "control/ControlCommand.h"
#include "fleet/Upstream.h"
#include "forward/HeaderNames.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace siskinshunt {

// Control calls of a platform that uses a protocol of its own. A dialect translates them; the node decides what to do.

/// The call is malformed, or refers to something that does not exist.
struct BadCall {
    uint16_t status = 400;
    std::string message;
};

struct PutConfigurationCall {
    uint64_t number = 0;
    std::string rules; ///< The configuration as rules.
    std::string original; ///< Configuration as received.
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

/// An upstream announces itself.
struct AnnounceCall {
    Announcement announcement;
    std::optional<TimeMs> coldRemaining; ///< For how long the upstream is still cold; none if it does not say.
};

/// An upstream is about to leave. Only its name is known.
struct LeaveCall {
    std::string name;
};

/// An operator starts or ends the evacuation of a failure domain.
struct OrderEvacuationCall {
    std::string domain;
    bool start = false; ///< False ends it.
};

/// A caller asks for entry addresses.
struct EntriesCall {
    std::string domain; ///< Of the caller.
    std::string region; ///< Of the caller, as it says; empty if it does not.
    std::string host; ///< That the caller wants to reach; empty if it does not say.
};

using ControlCall = std::variant<BadCall, PutConfigurationCall, ReadConfigurationCall, OrderVersionCall, ReadVersionCall, AnnounceCall, LeaveCall, OrderEvacuationCall, EntriesCall>;

/// Sent with each call to the platform by the holder of a duty.
struct DutyHolder {
    std::string name; ///< Of the node.
    uint64_t fencing = 0; ///< Fencing number; increases with each holder.
};

struct UsageReport {
    int64_t window = 0;
    std::map<std::string, uint64_t> counts; ///< By client account.
};

/// Number of instances of a backend that are wanted in a failure domain.
struct ScaleOrder {
    std::string backend;
    std::string domain;
    uint32_t wanted = 0;
    bool reclaimable = false;

    auto operator<=>(const ScaleOrder&) const = default;
};

/// Translates between the calls of a platform and the types of the node. Has no state and makes no decisions.
struct Dialect {
    HeaderNames headers;
    std::function<ControlCall(const HttpRequest&, const std::string& peer)> decode;
    std::function<std::string(const std::vector<std::string>& addresses, TimeMs valid)> entriesBody;
    std::function<std::string(const VersionOrder&)> versionBody;
    std::function<HttpRequest(const DutyHolder&, const UsageReport&)> usageRequest;
    std::function<HttpRequest(const DutyHolder&, const ScaleOrder&)> scaleRequest;
};

}
