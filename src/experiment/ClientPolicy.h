#pragma once

#include "base/EnumNames.h"
#include "experiment/AnswerChecker.h"
#include "experiment/HttpClient.h"

#include <array>

namespace siskinshunt {

/// How a call ended for its caller.
enum class CallResult : uint8_t {
    Answered, ///< Complete and its own.
    Refused, ///< Last told: not run.
    Failed, ///< Last told: an explicit error that does not say "not run".
    Unknown, ///< A once call whose fate the system does not know.
    Unreachable, ///< No address took a connection; nothing was sent.
    Lost, ///< No answer of any kind.
    Cut, ///< An answer that ended early without an error.
    Crossed, ///< Text of another request.
    Left, ///< The caller went away on purpose.
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

/// One attempt, as the caller saw it.
struct AttemptOutcome {
    HttpEnd end = HttpEnd::Complete;
    int status = 0;
    AnswerVerdict verdict = AnswerVerdict::Whole;
    std::string code;
    std::string run;
    TimeMs retryAfter;
};

/// The result of the call if this attempt was the last one.
CallResult resultOf(const AttemptOutcome&, bool once);

/// Whether a caller may send the same call again: nothing was run, or the call may repeat, or it goes out under the same
/// key. A once call that is told `unknown` is asked again under its key; wrong input is not sent again.
bool canResend(const AttemptOutcome&, bool once);

/// True when the attempt leaves open whether a once call ran.
bool leavesOutcomeUnknown(const AttemptOutcome&);

}
