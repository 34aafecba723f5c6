#include "CrashFleet.h"

namespace siskinshunt {

static const std::string badPart = "66";

// One in twenty prompts has a part that crashes each engine which begins to answer it; no two prompts are alike.
static CrashFleetOptions badParts(int entries, int controls, int engines)
{
    CrashFleetOptions out { .entries = entries, .controls = controls, .upstreams = engines };
    out.isBad = [](const HttpRequest& request) { return findHeader(request.headers, HeaderNames {}.promptParts).find("," + badPart + ":") != std::string_view::npos; };
    out.makeRequest = [prompts = 0](NodeFleet& fleet, bool bad) mutable -> HttpRequest {
        const std::string middle = bad ? badPart : "b" + std::to_string(fleet.random.below(50));
        const std::string own = std::to_string(++prompts);
        const std::string parts = "a" + std::to_string(fleet.random.below(4)) + ":100," + middle + ":100," + "c" + own + ":10";
        const HeaderNames names;
        return { "POST", "/ask/1", { { names.tokens, "210,10" }, { names.promptParts, parts } }, "prompt" };
    };
    return out;
}

BOOST_AUTO_TEST_SUITE(CrashingPrompts)

// Guards against prompts with a common part that crash one engine after the other, because each entry node sees only a few of them, and
// against sound prompts that are refused with them.
static void checkLearned(int entries, int controls, int engines, TimeMs interval)
{
    CrashFleet it(badParts(entries, controls, engines));
    it.sendRequests(8_s, interval);
    it.checkLearned(interval);
}

BOOST_AUTO_TEST_CASE(AreLearnedByASmallFleet)
{
    checkLearned(8, 5, 12, 50_ms);
}

BOOST_AUTO_TEST_CASE(AreLearnedByAFleetWithHubs)
{
    checkLearned(40, 5, 30, 150_ms);
}

// Guards against entry nodes that start later and send the part again.
BOOST_AUTO_TEST_CASE(AreLearnedByNodesThatRestart)
{
    CrashFleet it(badParts(20, 5, 20));
    it.checkLearnedByNodesThatRestart(4);
}

BOOST_AUTO_TEST_SUITE_END()

}
