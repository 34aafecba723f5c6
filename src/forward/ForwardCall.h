#pragma once

#include "api/HttpMessage.h"
#include "forward/EventStreamSplitter.h"
#include "forward/HeaderNames.h"
#include "forward/PromptParts.h"
#include "forward/RouteTable.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

/// Where a forwarded request stands.
enum class ForwardStage : uint8_t {
    Connecting, ///< Handed to the transport; no byte has left.
    Sent, ///< Bytes may have left.
    Answering, ///< The head of the upstream's answer has arrived.
    Waiting, ///< Between two upstreams.
};

template <>
inline constexpr auto enumNames<ForwardStage> = std::to_array<EnumName<ForwardStage>>({
    { ForwardStage::Connecting, "connecting" },
    { ForwardStage::Sent, "sent" },
    { ForwardStage::Answering, "answering" },
    { ForwardStage::Waiting, "waiting" },
});

/// A request that is being forwarded.
struct ForwardCall {
    // The request.
    uint64_t exchange = 0;
    std::string requestId; ///< As the caller gave it; for logs and for matching answers.
    HttpRequest request; ///< What is sent, but for the headers that differ by attempt.
    std::shared_ptr<const RouteTable> routes; ///< The rules in force when it arrived.
    const ForwardRule* rule = nullptr;
    const AllowanceRule* account = nullptr;
    int urgency = 9;
    TimeMs arrivedAt;
    TimeMs callerDeadline; ///< The caller waits no longer.
    TimeMs deadline; ///< The caller's time and the route's timeout, whichever ends first.
    double cost = 0; ///< Of the account's allowance.
    std::vector<PromptPart> parts;
    uint32_t promptTokens = 0;

    // The attempt under way.
    ForwardStage stage = ForwardStage::Waiting;
    uint64_t dispatch = 0;
    UpstreamId target;
    std::string targetName;
    std::string backend;
    TimeMs sentAt;
    TimeMs expectedWait; ///< To the first event, as estimated when it was sent.
    double prefillTokens = 0; ///< Prompt tokens counted as load of the target until the first event.
    double tokensBeforeFirstEvent = 0; ///< Prompt tokens to be read before its first event, when it was sent.
    bool usageRecorded = false; ///< Counted as usage.
    TimeMs lastByteAt;
    TimeMs resumeAt; ///< Waiting: the next attempt starts then.

    // All attempts.
    int sendCount = 0;
    int possibleExecutions = 0; ///< Upstreams that may have run it.
    std::vector<UpstreamId> tried;

    // The answer.
    uint16_t status = 0;
    HttpHeaders headers;
    std::optional<uint64_t> contentLength;
    std::string body; ///< Held until the answer is complete, or until the head is passed on.
    bool headForwarded = false;
    uint64_t forwardedBytes = 0;
    EventStreamSplitter events; ///< Of a stream that may be resumed.

    bool canRetry() const { return rule->kind == ForwardKind::Repeatable || (rule->kind == ForwardKind::Stream && rule->resume); }
    bool canResume() const { return rule->kind == ForwardKind::Stream && rule->resume; }
};

/// Facts of a request that forwarding goes by.
struct ForwardMetadata {
    std::string requestId;
    std::optional<TimeMs> timeLeft;
    std::optional<uint64_t> tokens; ///< Prompt tokens plus the most tokens of the answer.
    uint32_t promptTokens = 0;
    std::vector<PromptPart> parts;
};

ForwardMetadata parseForwardMetadata(const HttpHeaders&, const HeaderNames&);

/// The request as upstreams get it: without the caller's key, without the headers that concern its connection only, and
/// without those that only the system may set.
HttpRequest requestForUpstreams(HttpRequest, const HeaderNames&, const std::string& account, int urgency);

/// Adds what differs by attempt: the upstream that is meant, the time left, and where a resumed stream goes on.
void addAttemptHeaders(HttpRequest&, const HeaderNames&, const std::string& target, TimeMs left, const std::string& lastEvent);

/// Headers of an upstream's answer for the caller, without those of the connection.
HttpHeaders headersForCaller(const HttpHeaders&);

}
