#include "CrashFleet.h"

namespace siskinshunt {

// One request comes again and again, with the same path and body, and crashes each upstream that begins to run it. Each sound request has a
// body of its own, or one of a few that all callers send.
static CrashFleetOptions badRequest(const std::string& path, double badShare)
{
    CrashFleetOptions out { .upstreams = 3, .backend = "desk", .badShare = badShare, .crashesToLearn = 3 };
    out.isBad = [](const HttpRequest& request) { return request.body == "bad"; };
    out.makeRequest = [path, bodies = 0](NodeFleet& fleet, bool bad) mutable -> HttpRequest {
        const std::string body = bad ? "bad" : fleet.random.chance(0.2) ? "common " + std::to_string(fleet.random.below(3))
                                                                        : "sound " + std::to_string(++bodies);
        return { "POST", path, {}, body };
    };
    return out;
}

// A request with a prompt whose parts sound prompts have as well.
static CrashFleetOptions badPrompt(const std::string& path)
{
    CrashFleetOptions out = badRequest(path, 0.05);
    out.upstreams = 12;
    out.backend = "lm";
    out.makeRequest = [path, prompts = 0](NodeFleet& fleet, bool bad) mutable -> HttpRequest {
        const std::string own = bad ? "bad" : std::to_string(++prompts);
        const std::string shared = "a" + std::to_string(bad ? 0 : fleet.random.below(4)) + ":100,b" + std::to_string(bad ? 0 : fleet.random.below(20)) + ":100,";
        const HeaderNames names;
        return { "POST", path, { { names.tokens, "210,10" }, { names.promptParts, shared + "c" + (bad ? "0" : own) + ":10" } }, own };
    };
    return out;
}

static void checkLearned(const CrashFleetOptions& options, TimeMs interval)
{
    CrashFleet it(options);
    it.sendRequests(8_s, interval);
    it.checkLearned(interval);
}

BOOST_AUTO_TEST_SUITE(CrashingRequests)

// Each guards against a request that crashes one upstream after the other and is sent to them again whenever it comes back, because nothing
// relates its attempts, and against sound requests that are refused with it.

BOOST_AUTO_TEST_CASE(RepeatableOnesAreLearned)
{
    checkLearned(badRequest("/look/1", 0.3), 100_ms);
}

BOOST_AUTO_TEST_CASE(OnceOnesAreLearned)
{
    checkLearned(badRequest("/book/1", 0.3), 100_ms);
}

BOOST_AUTO_TEST_CASE(SeldomOnesAreLearned)
{
    checkLearned(badRequest("/look/1", 0.03), 100_ms);
}

BOOST_AUTO_TEST_CASE(StreamsAreLearned)
{
    checkLearned(badPrompt("/ask/1"), 50_ms);
}

BOOST_AUTO_TEST_CASE(ResumableStreamsAreLearned)
{
    checkLearned(badPrompt("/plan/1"), 50_ms);
}

BOOST_AUTO_TEST_CASE(AreLearnedByAFleetWithHubs)
{
    CrashFleetOptions options = badRequest("/look/1", 0.3);
    options.entries = 40;
    options.upstreams = 9;
    checkLearned(options, 300_ms);
}

// Guards against entry nodes that start later and send the request again.
BOOST_AUTO_TEST_CASE(AreLearnedByNodesThatRestart)
{
    CrashFleet it(badRequest("/look/1", 0.3));
    it.checkLearnedByNodesThatRestart(2);
}

BOOST_AUTO_TEST_SUITE_END()

}
