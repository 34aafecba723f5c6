#include "experiment/AnswerChecker.h"

#include "experiment/Answers.h"

#include <algorithm>

namespace siskinshunt {

AnswerChecker::AnswerChecker(AnswerExpectation expected)
    : m_expected(std::move(expected))
{
}

static Json parseOrNull(std::string_view text)
{
    return handle([&] { return parseJson(text, "answer"); }, [](const Error&) { return Json(); });
}

size_t AnswerChecker::feed(std::string_view piece)
{
    const size_t before = m_textSize;
    for (const auto& event : m_parser.feed(piece)) {
        if (m_done)
            m_crossed = true;
        if (event.data == "[DONE]") {
            m_done = true;
            continue;
        }
        const auto json = parseOrNull(event.data);
        if (event.event == "error" || json.has("error"))
            handleError(json["error"]);
        else
            handleChunk(json);
    }
    return (m_textSize - before) / answerTokenSize;
}

void AnswerChecker::handleChunk(const Json& chunk)
{
    if (chunk.has("version"))
        m_version = chunk["version"].asText();
    for (const auto& choice : chunk["choices"].items) {
        const auto text = choice.has("delta") ? choice["delta"]["content"].asText() : choice["text"].asText();
        if (std::string_view(m_expected.text).substr(std::min(m_textSize, m_expected.text.size())).substr(0, text.size()) != text)
            m_crossed = true;
        m_textSize += text.size();
    }
}

void AnswerChecker::handleError(const Json& error)
{
    m_error = true;
    m_code = error["code"].asText();
    m_run = error["run"].asText();
    m_retryAfter = { error["retry_after_ms"].asInt() };
}

AnswerVerdict AnswerChecker::finishBody(std::string_view body)
{
    const auto json = parseOrNull(body);
    m_version = json["version"].asText();
    if (m_expected.form == AnswerExpectation::Form::Service) {
        if (!json.has("confirmation"))
            return AnswerVerdict::Incomplete;
        return json["confirmation"].asText() == m_expected.text ? AnswerVerdict::Whole : AnswerVerdict::Crossed;
    }
    if (json["choices"].items.empty())
        return AnswerVerdict::Incomplete;
    const auto& choice = json["choices"].items[0];
    const auto text = choice.has("message") ? choice["message"]["content"].asText() : choice["text"].asText();
    if (text == m_expected.text)
        return AnswerVerdict::Whole;
    return std::string_view(m_expected.text).starts_with(text) ? AnswerVerdict::Incomplete : AnswerVerdict::Crossed;
}

AnswerVerdict AnswerChecker::finish(int status, std::string_view body, bool complete)
{
    if (status != 200) {
        handleError(parseOrNull(body)["error"]);
        return AnswerVerdict::Refusal;
    }
    if (m_crossed)
        return AnswerVerdict::Crossed;
    if (m_expected.form != AnswerExpectation::Form::Stream)
        return complete ? finishBody(body) : AnswerVerdict::Incomplete;
    if (m_error)
        return AnswerVerdict::ErrorEvent;
    return m_done && m_textSize == m_expected.text.size() ? AnswerVerdict::Whole : AnswerVerdict::Incomplete;
}

}
