#pragma once

#include "base/EnumNames.h"
#include "experiment/Json.h"
#include "experiment/SseParser.h"

#include <array>
#include <string>

namespace siskinshunt {

/// Result of checking the answer of one attempt.
enum class AnswerVerdict : uint8_t {
    Whole, ///< Complete and with the expected text.
    Incomplete, ///< Ended early without an error event.
    Crossed, ///< Holds text that does not belong to this request.
    ErrorEvent, ///< The stream contains an error event.
    Refusal, ///< A status other than 200.
};

template <>
inline constexpr auto enumNames<AnswerVerdict> = std::to_array<EnumName<AnswerVerdict>>({
    { AnswerVerdict::Whole, "whole" },
    { AnswerVerdict::Incomplete, "incomplete" },
    { AnswerVerdict::Crossed, "crossed" },
    { AnswerVerdict::ErrorEvent, "error_event" },
    { AnswerVerdict::Refusal, "refusal" },
});

/// The expected answer.
struct AnswerExpectation {
    enum class Form : uint8_t {
        Stream, ///< Server-sent events that end with [DONE].
        Body, ///< One JSON object of a completion.
        Service, ///< A JSON object with a member `confirmation`.
    };
    Form form = Form::Body;
    std::string text; ///< The whole completion text, or the confirmation.
};

/// Checks the answer of one attempt as it arrives.
class AnswerChecker {
public:
    explicit AnswerChecker(AnswerExpectation);

    /// Checks the next piece of a streamed 200 answer. Returns the number of answer tokens that it completes.
    size_t feed(std::string_view piece);
    /// Returns the verdict. `complete` means that the HTTP message arrived in full according to its framing.
    AnswerVerdict finish(int status, std::string_view body, bool complete);

    const std::string& version() const { return m_version; } ///< Model version that answered; empty when unknown.
    const std::string& code() const { return m_code; } ///< Error code of a refusal or error event.
    const std::string& run() const { return m_run; } ///< Member `run` of a refusal or error event.
    TimeMs retryAfter() const { return m_retryAfter; }

private:
    void handleChunk(const Json&);
    void handleError(const Json&);
    AnswerVerdict finishBody(std::string_view body);

    AnswerExpectation m_expected;
    SseParser m_parser;
    size_t m_textSize = 0; ///< Length of the text so far.
    bool m_done = false;
    bool m_crossed = false;
    bool m_error = false;
    std::string m_version;
    std::string m_code;
    std::string m_run;
    TimeMs m_retryAfter;
};

}
