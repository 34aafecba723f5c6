#pragma once

#include "base/EnumNames.h"
#include "experiment/AnswerChecker.h"
#include "experiment/HttpClient.h"

#include <array>

namespace siskinshunt {

/// Outcome of a call as seen by its caller.
enum class CallResult : uint8_t {
    Answered, ///< Complete and with the expected text.
    Refused, ///< The last attempt was reported as not run.
    Failed, ///< The last attempt was reported as an error other than "not run".
    Unknown, ///< The system does not know whether a once-only call ran.
    Unreachable, ///< The connection failed; nothing was sent.
    Lost, ///< The request was sent, but no response arrived.
    Cut, ///< The answer ended early without an error.
    Crossed, ///< The answer contains text that does not belong to the request.
    Left, ///< The caller cancelled the call.
};

template <>
inline constexpr auto enumNames<CallResult> = std::to_array<EnumName<CallResult>>({
    { CallResult::Answered, "answered" },
    { CallResult::Refused, "refused" },
    { CallResult::Failed, "failed" },
    { CallResult::Unknown, "unknown" },
    { CallResult::Unreachable, "unreachable" },
    { CallResult::Lost, "lost" },
    { CallResult::Cut, "cut" },
    { CallResult::Crossed, "crossed" },
    { CallResult::Left, "left" },
});

/// Outcome of an attempt as seen by the caller.
struct AttemptOutcome {
    HttpEnd end = HttpEnd::Complete;
    int status = 0;
    AnswerVerdict verdict = AnswerVerdict::Whole;
    std::string code;
    std::string run;
    TimeMs retryAfter;
};

/// Returns the result of the call if this was its last attempt.
CallResult resultOf(const AttemptOutcome&, bool once);

/// Whether the caller can send the call again: it did not run, is repeatable, or keeps its idempotency key. A once-only call
/// with outcome `unknown` is sent again under the same key; invalid requests are not sent again.
bool canResend(const AttemptOutcome&, bool once);

/// Whether it is unknown after the attempt if a once-only call ran.
bool leavesOutcomeUnknown(const AttemptOutcome&);

}
