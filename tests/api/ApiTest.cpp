#include "api/AnnouncementJson.h"
#include "api/HttpMessage.h"
#include "api/ModelRequest.h"
#include "api/Refusal.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static std::string requestError(std::string_view path, std::string_view body)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(request, parseModelRequest(path, body, 32));
            return "model " + request.model;
        },
        [](const Error& error) { return error.detail; });
}

// Guards against malformed bodies that reach an upstream, and against valid ones that are rejected.
BOOST_AUTO_TEST_CASE(modelRequestsAreValidated)
{
    BOOST_TEST(requestError("/v1/chat/completions", R"({"model":"m","messages":[{"role":"user","content":"hi"}]})") == "model m");
    BOOST_TEST(requestError("/v1/chat/completions", R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"hi"}]}]})") == "model m");
    BOOST_TEST(requestError("/v1/completions", R"({"model":"m","prompt":"hi","max_tokens":5})") == "model m");
    BOOST_TEST(requestError("/v1/completions", R"({"model":"m","prompt":"hi","max_tokens":0})").starts_with("\"max_tokens\""));
    BOOST_TEST(requestError("/v1/completions", R"({"model":"m","prompt":5})").starts_with("\"prompt\""));
    BOOST_TEST(requestError("/v1/chat/completions", R"({"model":"m","messages":[]})").starts_with("\"messages\""));
    BOOST_TEST(requestError("/v1/completions", R"({"prompt":"hi"})").starts_with("\"model\""));
    BOOST_TEST(requestError("/v1/completions", std::string(100, '[')).starts_with("the body is not JSON"));
}

// Guards against a resumed stream whose engine does not get the text generated so far.
BOOST_AUTO_TEST_CASE(resumeCarriesOffsetAndText)
{
    const std::string body = withResume(R"({"model":"m","prompt":"p"})", 3, "a b c");
    BOOST_TEST(body == R"({"model":"m","prompt":"p","resume":{"offset":3,"text":"a b c"}})");
    BOOST_TEST(extractEventText(R"({"choices":[{"delta":{"content":"word"}}]})") == "word");
    BOOST_TEST(extractEventText(R"({"choices":[{"text":"word"}]})") == "word");
    BOOST_TEST(extractEventText("[DONE]") == "");
}

// Guards against announcements that change in a round trip and against members that are not validated.
BOOST_AUTO_TEST_CASE(announcementsRoundTripAndAreValidated)
{
    Announcement a;
    a.name = "runner-1";
    a.address = "127.0.5.1:9000";
    a.domain = "lhr-depot";
    a.machine = "gpu-a";
    a.model = "sound";
    a.version = "v1";
    a.reclaimIn = 2500_ms;
    a.sequence = 9;
    a.load.running = 4;
    const auto parse = [](std::string_view body) {
        return handle([&]() -> Result<Announcement> { return parseAnnouncement(body); },
            [](const Error& error) { Announcement bad; bad.name = "error: " + error.detail; return bad; });
    };
    const auto back = parse(toJson(a));
    BOOST_TEST(back.name == "runner-1");
    BOOST_TEST(back.reclaimIn->value == 2500);
    BOOST_TEST(back.load.running == 4u);
    BOOST_TEST(parse(R"({"id":"x"})").name == "error: \"address\": expected a string of 1 to 64 bytes");
    a.load.tokensPerSecond = -1;
    BOOST_TEST(parse(toJson(a)).name == "error: \"load.tokens_per_second\": expected a number, not negative");
}

// Guards against an HTTP status, run status and body that disagree.
BOOST_AUTO_TEST_CASE(refusalContainsCodeAndRunStatus)
{
    const Refusal refusal { RefusalCode::QueueFull, RunStatus::NotRun, "the queue is full", "c1", 1500_ms };
    BOOST_TEST(statusOf(refusal.code) == 503);
    BOOST_TEST(refusalBody(refusal) == R"({"error":{"code":"queue_full","message":"the queue is full","run":"not-run","call":"c1","retry_after_ms":1500}})");
    BOOST_TEST(nameOf(runStatusOf(DispatchState::PossiblySent)) == "unknown");
}

// Guards against query values that are truncated or not decoded.
BOOST_AUTO_TEST_CASE(queryValuesAreDecoded)
{
    BOOST_TEST(queryValue("/a?id=x%20y&n=1", "id") == "x y");
    BOOST_TEST(queryValue("/a?id=x%20y&n=1", "n") == "1");
    BOOST_TEST(queryValue("/a", "n") == "");
    BOOST_TEST(pathOf("/a?b") == "/a");
}
