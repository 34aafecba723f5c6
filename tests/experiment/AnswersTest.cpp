#include "experiment/Answers.h"
#include "experiment/AnswerChecker.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static std::string streamOf(const std::string& prompt, uint64_t from, uint64_t count, bool done)
{
    std::string out;
    for (uint64_t k = from; k < from + count; ++k) {
        const auto chunk = Json::object({ { "version", "v1" }, { "choices", Json::array({ Json::object({ { "delta", Json::object({ { "content", answerToken(promptHash(prompt), k) } }) } }) }) } });
        out += "id: " + std::to_string(k + 1) + "\ndata: " + toText(chunk) + "\n\n";
    }
    return done ? out + "data: [DONE]\n\n" : out;
}

static AnswerVerdict checkStream(const std::string& expectedPrompt, uint64_t tokens, const std::string& stream)
{
    AnswerChecker checker({ .form = AnswerExpectation::Form::Stream, .text = expectedAnswer(expectedPrompt, 0, tokens) });
    checker.feed(stream);
    return checker.finish(200, {}, true);
}

// Guards against answers that differ between engines, restarts or resumes, which would be reported as crossed.
BOOST_AUTO_TEST_CASE(answerDependsOnPromptAndPositionOnly)
{
    const auto whole = expectedAnswer("where is the mixer", 0, 12);
    BOOST_TEST(whole.size() == 12 * answerTokenSize);
    BOOST_TEST(whole == expectedAnswer("where is the mixer", 0, 5) + expectedAnswer("where is the mixer", 5, 7));
    BOOST_TEST(whole != expectedAnswer("where is the mixer?", 0, 12));
    BOOST_TEST(expectedAnswer("hello", 0, 2) == "tazis sikop ");
}

// Guards against a confirmation that depends on whether the proxy forwards the whole path to the service.
BOOST_AUTO_TEST_CASE(confirmationIgnoresServicePrefix)
{
    BOOST_TEST(serviceConfirmation("POST", "/services/hire-desk/bookings", "x") == serviceConfirmation("POST", "/bookings", "x"));
    BOOST_TEST(serviceConfirmation("POST", "/bookings", "x") != serviceConfirmation("POST", "/bookings", "y"));
}

// Guards against events that are lost or duplicated when a network read ends in the middle of an event.
BOOST_AUTO_TEST_CASE(sseEventsSurviveEveryChunkBoundary)
{
    const std::string text = ": waiting\n\nid: 1\ndata: a\ndata: b\n\nevent: error\r\ndata: {}\r\n\r\ndata: [DONE]\n\n";
    for (size_t cut = 0; cut <= text.size(); ++cut) {
        SseParser parser;
        auto events = parser.feed(std::string_view(text).substr(0, cut));
        for (auto& it : parser.feed(std::string_view(text).substr(cut)))
            events.push_back(std::move(it));
        BOOST_REQUIRE(events.size() == 3);
        BOOST_TEST(events[0].id == "1");
        BOOST_TEST(events[0].data == "a\nb");
        BOOST_TEST(events[1].event == "error");
        BOOST_TEST(events[2].data == "[DONE]");
        BOOST_TEST(!parser.hasPartialEvent());
    }
}

// Guards against a checker that accepts a stream without [DONE], a truncated stream, or the stream of another prompt.
BOOST_AUTO_TEST_CASE(streamCheckerFindsCutAndCrossed)
{
    BOOST_CHECK(checkStream("p", 5, streamOf("p", 0, 5, true)) == AnswerVerdict::Whole);
    BOOST_CHECK(checkStream("p", 5, streamOf("p", 0, 5, false)) == AnswerVerdict::Incomplete);
    BOOST_CHECK(checkStream("p", 5, streamOf("p", 0, 4, true)) == AnswerVerdict::Incomplete);
    BOOST_CHECK(checkStream("p", 5, streamOf("q", 0, 5, true)) == AnswerVerdict::Crossed);
    // A resume that repeats or skips a token is reported like text of another request.
    BOOST_CHECK(checkStream("p", 5, streamOf("p", 0, 3, false) + streamOf("p", 2, 3, true)) == AnswerVerdict::Crossed);
    BOOST_CHECK(checkStream("p", 5, streamOf("p", 0, 3, false) + streamOf("p", 4, 1, true)) == AnswerVerdict::Crossed);
    BOOST_CHECK(checkStream("p", 5, streamOf("p", 0, 5, true) + streamOf("p", 5, 1, false)) == AnswerVerdict::Crossed);
    BOOST_CHECK(checkStream("p", 5, streamOf("p", 0, 6, true)) == AnswerVerdict::Crossed);
    BOOST_CHECK(checkStream("p", 5, streamOf("p", 0, 2, false) + "event: error\ndata: {\"error\":{\"code\":\"x\",\"run\":\"unknown\"}}\n\n") == AnswerVerdict::ErrorEvent);
}

// Guards against a checker that accepts a body which is truncated or belongs to another call.
BOOST_AUTO_TEST_CASE(bodyCheckerFindsCutAndCrossed)
{
    const auto checkBody = [](const std::string& text, bool complete) {
        AnswerChecker checker({ .form = AnswerExpectation::Form::Body, .text = expectedAnswer("p", 0, 5) });
        const auto body = Json::object({ { "choices", Json::array({ Json::object({ { "text", text } }) }) } });
        return checker.finish(200, toText(body), complete);
    };
    BOOST_CHECK(checkBody(expectedAnswer("p", 0, 5), true) == AnswerVerdict::Whole);
    BOOST_CHECK(checkBody(expectedAnswer("p", 0, 5), false) == AnswerVerdict::Incomplete);
    BOOST_CHECK(checkBody(expectedAnswer("p", 0, 4), true) == AnswerVerdict::Incomplete);
    BOOST_CHECK(checkBody(expectedAnswer("q", 0, 5), true) == AnswerVerdict::Crossed);

    AnswerChecker service({ .form = AnswerExpectation::Form::Service, .text = serviceConfirmation("POST", "/b", "1") });
    BOOST_CHECK(service.finish(200, "{\"confirmation\":\"" + serviceConfirmation("POST", "/b", "2") + "\"}", true) == AnswerVerdict::Crossed);
}
