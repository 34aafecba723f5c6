#pragma once

#include "api/HttpMessage.h"
#include "forward/CrashQuarantine.h"
#include "forward/EventStreamSplitter.h"
#include "forward/HeaderNames.h"
#include "forward/PromptParts.h"
#include "forward/RequestCost.h"
#include "forward/RouteTable.h"

#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

/// Progress of a forwarded request.
enum class ForwardStage : uint8_t {
    Connecting, ///< Passed to the transport; no byte was sent.
    Sent, ///< Bytes may have been sent.
    Answering, ///< The head of the upstream's response was received.
    Waiting, ///< Between two attempts.
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
    std::string requestId; ///< As set by the caller; used in logs and to match responses.
    HttpRequest request; ///< As sent to upstreams, without the headers that differ by attempt.
    std::shared_ptr<const RouteTable> routes; ///< The rules in force when it arrived.
    const ForwardRule* rule = nullptr;
    const AllowanceRule* account = nullptr;
    AllowedRegions regions; ///< That the upstreams and the other entry nodes of the request must be in.
    int urgency = 9;
    TimeMs arrivedAt;
    TimeMs callerDeadline; ///< The caller stops waiting then.
    TimeMs deadline; ///< The earlier of the caller's deadline and the route's timeout.
    double cost = 0; ///< Of the account's allowance.
    bool charged = false; ///< The cost is consumed from the allowance at this node.
    bool fromNode = false; ///< Sent by another entry node, which does not reach the upstreams, or reaches few of them.
    bool fromUnreaching = false; ///< That node reaches none.
    std::string authorization; ///< As sent by the caller.
    std::vector<PromptPart> parts;
    uint32_t promptTokens = 0;
    double outputLimit = 0; ///< Maximum number of response tokens; 0 if unknown.
    double lengthHint = 0; ///< Response tokens that the caller expects; 0 without a hint.
    uint64_t fingerprint = 0; ///< See fingerprintOf().

    // The current attempt.
    ForwardStage stage = ForwardStage::Waiting;
    uint64_t dispatch = 0;
    UpstreamId target; ///< 0 if it was sent to another entry node.
    NodeId relay; ///< The other entry node; 0 if it was sent to an upstream.
    std::string targetName; ///< Of the upstream or the other entry node.
    uint64_t targetIncarnation = 0;
    uint64_t targetSequence = 0; ///< Of the target's last announcement when the request was sent.
    std::string backend;
    TimeMs sentAt;
    TimeMs expectedWait; ///< Until the first event, estimated when the request was sent.
    uint64_t eventsAtSend = 0; ///< Events of the answer before this attempt.
    double prefillTokens = 0; ///< Prompt tokens that count as load of the target until the first event.
    double workMs = 0; ///< Expected engine time; 0 before it was offered to an engine.
    double tokensBeforeFirstEvent = 0; ///< Prompt tokens to prefill before the first event, estimated when the request was sent.
    PrefillWork prefill; ///< Prompt tokens to prefill, estimated when the request was sent.
    double expectedOutput = 0; ///< Response tokens, estimated when the request was sent.
    double expectedSlotMs = 0; ///< Time in a slot, estimated when the request was sent; 0 until learned.
    TimeMs firstEventAt; ///< 0 before.
    bool usageRecorded = false;
    bool silenceLogged = false; ///< The attempt has been logged as silent.
    bool silenceRecorded = false; ///< The attempt counts as one that did not reach its upstream.
    bool silenceCounted = false; ///< The attempt counts as a failure of its upstream.
    TimeMs lastByteAt;
    TimeMs resumeAt; ///< In stage Waiting: start of the next attempt.
    bool resultRecorded = false; ///< The attempt counts as answered or failed for its version.
    bool timeRecorded = false; ///< Its time was compared with that of other versions.
    bool paceRecorded = false; ///< The same for the pace of its stream.
    TimeMs firstBodyAt; ///< Start of its stream; 0 before.
    uint64_t bodyBytes = 0; ///< Of its stream, after those that came first.
    bool needsPermit = false; ///< In stage Waiting: the next attempt also needs a retry permit.

    // All attempts.
    int sendCount = 0;
    int possibleExecutions = 0; ///< Upstreams that may have executed the request.
    std::vector<UpstreamId> tried;
    size_t unreachable = 0; ///< Upstreams to which no connection could be made.
    std::vector<NodeId> relays; ///< Entry nodes to which the request was sent.

    // The response.
    uint16_t status = 0;
    HttpHeaders headers;
    std::optional<uint64_t> contentLength;
    std::string body; ///< Buffered until the response is complete or its head is forwarded.
    bool headForwarded = false;
    uint64_t forwardedBytes = 0;
    EventStreamSplitter events; ///< For a stream that can be resumed.

    /// Whether another run may replace one that may have begun. Bytes of two runs of a repeatable request must not be joined.
    bool canRetry() const { return (rule->kind == ForwardKind::Repeatable && !headForwarded) || canResume(); }
    bool canResume() const { return rule->kind == ForwardKind::Stream && rule->resume; }
};

/// Request headers that control forwarding, parsed.
struct ForwardMetadata {
    std::string requestId;
    std::optional<TimeMs> timeLeft;
    std::optional<uint64_t> tokens; ///< Prompt tokens plus the maximum number of response tokens.
    uint32_t promptTokens = 0;
    double outputLimit = 0; ///< Maximum number of response tokens; 0 if absent.
    double lengthHint = 0; ///< Response tokens that the caller expects; 0 if absent or not a number.
    std::vector<PromptPart> parts;
};

/// Parses a header value; none if the text is not a decimal number of at least 0.
std::optional<double> parseDecimal(std::string_view text);

ForwardMetadata parseForwardMetadata(const HttpHeaders&, const HeaderNames&);

/// What the request may have in common with others, for the quarantine. Valid as long as the call.
inline RequestContent contentOf(const ForwardCall& call) { return { .parts = call.parts, .fingerprint = call.fingerprint }; }

/// Hash of the client account and of the request's method, target and body: equal for requests that are repeats of each other.
uint64_t fingerprintOf(const HttpRequest&, std::string_view account);

/// Returns the request as sent to upstreams: without the caller's key, hop-by-hop headers and headers that only the system
/// may set.
HttpRequest requestForUpstreams(HttpRequest, const HeaderNames&, const std::string& account, int urgency);

/// Adds the time for which the sender continues to wait.
void addTimeLeft(HttpRequest&, const HeaderNames&, TimeMs left);
/// Sets the event after which a stream resumes, unless it is empty.
void addLastEvent(HttpRequest&, const HeaderNames&, const std::string& lastEvent);
/// Adds the headers that differ by attempt: the target upstream, the time left, and the event after which a stream resumes.
void addAttemptHeaders(HttpRequest&, const HeaderNames&, const std::string& target, TimeMs left, const std::string& lastEvent);

/// Returns the headers of an upstream's response without the hop-by-hop ones.
HttpHeaders headersForCaller(const HttpHeaders&);

}
