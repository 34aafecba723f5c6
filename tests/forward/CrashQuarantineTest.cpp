#include "forward/CrashQuarantine.h"

#include <boost/test/unit_test.hpp>

namespace siskinshunt {

namespace {

    constexpr uint64_t sharedPart = 1;
    constexpr uint64_t badPart = 66;

    struct Learner {
        // A prompt with the parts and one of its own.
        std::vector<PromptPart> prompt(const std::vector<uint64_t>& hashes)
        {
            std::vector<PromptPart> out;
            out.reserve(hashes.size() + 1);
            for (const uint64_t hash : hashes)
                out.push_back({ hash, 100 });
            out.push_back({ 1000 + ++prompts, 10 });
            return out;
        }

        // Requests with the same prompt are repeats of one request.
        static RequestContent contentOf(const std::vector<PromptPart>& parts) { return { .parts = parts, .fingerprint = hashOfPrompt(parts) }; }

        void crash(const std::vector<uint64_t>& hashes) { recordCrash(quarantine, now, contentOf(prompt(hashes)), UpstreamId { ++upstreams }, 1); }

        void answer(const std::vector<uint64_t>& hashes, int n = 1)
        {
            for (int k = 0; k < n; ++k)
                recordCompleteAnswer(quarantine, now, contentOf(prompt(hashes)));
        }

        bool isQuarantined(uint64_t part) { return findQuarantined(quarantine, now, contentOf(prompt({ part }))).has_value(); }

        CrashQuarantine quarantine;
        TimeMs now { 1764800000000 };
        uint64_t prompts = 0;
        uint64_t upstreams = 0;
    };

    void crashThreeTimes(Learner& it)
    {
        for (int n = 0; n < 3; ++n) {
            it.crash({ sharedPart, badPart });
            it.now += 300_ms;
            it.answer({ sharedPart, 7 }, 10);
        }
    }

}

BOOST_AUTO_TEST_SUITE(Quarantine)

// Guards against prompts of one kind that crash one upstream after the other, and against sound prompts that are refused for the
// parts that they share with them.
BOOST_AUTO_TEST_CASE(OfThePartThatOnlyCrashedPromptsShare)
{
    Learner it;
    crashThreeTimes(it);
    it.now += 1_s;
    BOOST_CHECK(it.isQuarantined(badPart));
    BOOST_CHECK(!it.isQuarantined(sharedPart));
    BOOST_CHECK(!it.isQuarantined(7));
}

// Guards against a verdict about a prompt that one caller repeats, or about an upstream that fails by itself.
BOOST_AUTO_TEST_CASE(NeedsDifferentPromptsAndUpstreams)
{
    Learner it;
    const auto same = it.prompt({ badPart });
    for (uint64_t n = 1; n <= 5; ++n)
        recordCrash(it.quarantine, it.now, Learner::contentOf(same), UpstreamId { n }, 1);
    for (int n = 0; n < 5; ++n)
        recordCrash(it.quarantine, it.now, Learner::contentOf(it.prompt({ 67 })), UpstreamId { 1 }, 1);
    it.now += 2_s;
    it.answer({ 7 }, 20);
    BOOST_CHECK(!it.isQuarantined(badPart));
    BOOST_CHECK(!it.isQuarantined(67));
}

// Guards against an outage of all upstreams that is blamed on the prompts which were running.
BOOST_AUTO_TEST_CASE(IsNotCausedByAnOutage)
{
    Learner it;
    for (int n = 0; n < 10; ++n)
        it.crash({ sharedPart });
    it.now += 5_s;
    BOOST_CHECK(!it.isQuarantined(sharedPart));
    it.answer({ sharedPart });
    it.answer({ 7 }, 20);
    BOOST_CHECK(!it.isQuarantined(sharedPart));
}

// Guards against nodes that learn each for themselves: every node would crash as many upstreams.
BOOST_AUTO_TEST_CASE(IsLearnedFromTheCrashesOfAllNodes)
{
    Learner a;
    Learner b;
    b.prompts = 500;
    b.upstreams = 500;
    a.crash({ sharedPart, badPart });
    a.crash({ sharedPart, badPart });
    b.crash({ sharedPart, badPart });
    b.answer({ sharedPart, 7 }, 20);
    a.answer({ 7 }, 20);
    for (int round = 0; round < 3; ++round) {
        const auto fromA = takeCrashReport(a.quarantine, a.now);
        const auto fromB = takeCrashReport(b.quarantine, b.now);
        applyCrashReport(a.quarantine, a.now, fromB, false);
        applyCrashReport(b.quarantine, b.now, fromA, false);
        a.now += 600_ms;
        b.now += 600_ms;
        a.answer({ 7 }, 20);
        b.answer({ 7 }, 20);
    }
    BOOST_CHECK(a.isQuarantined(badPart));
    BOOST_CHECK(b.isQuarantined(badPart));
    // Only b has answered prompts with the shared part.
    BOOST_CHECK(!a.isQuarantined(sharedPart));
    BOOST_CHECK(!b.isQuarantined(sharedPart));
}

// Guards against a node that starts later and does not hear of the quarantine.
BOOST_AUTO_TEST_CASE(IsToldToNodesThatStartLater)
{
    Learner a;
    crashThreeTimes(a);
    takeCrashReport(a.quarantine, a.now);
    a.now += 5_s;
    Learner late;
    late.now = a.now;
    applyCrashReport(late.quarantine, late.now, takeCrashReport(a.quarantine, a.now), false);
    late.now += 1500_ms;
    late.answer({ 7 }, 20);
    BOOST_CHECK(late.isQuarantined(badPart));
}

// Guards against a part that stays refused for ever, and against one that crashes an upstream every time that its quarantine ends.
BOOST_AUTO_TEST_CASE(IsTriedAgainAndEndsWithAnAnswer)
{
    Learner it;
    crashThreeTimes(it);
    it.now += 1_s;
    const auto first = findQuarantined(it.quarantine, it.now, Learner::contentOf(it.prompt({ badPart })));
    BOOST_REQUIRE(first);
    it.now = first->retryAt;
    recordTry(it.quarantine, it.now, badPart);
    it.crash({ badPart });
    const auto second = findQuarantined(it.quarantine, it.now, Learner::contentOf(it.prompt({ badPart })));
    BOOST_REQUIRE(second);
    BOOST_CHECK_GE((second->retryAt - it.now).value, 2 * it.quarantine.options.firstRetry.value);
    it.answer({ badPart });
    BOOST_CHECK(!it.isQuarantined(badPart));
}

// Guards against a request that crashes one upstream after the other and is sent to them again, also while no other request is answered.
BOOST_AUTO_TEST_CASE(OfARequestThatIsRepeated)
{
    Learner it;
    const RequestContent bad { .parts = {}, .fingerprint = 5 };
    for (uint64_t n = 1; n <= 2; ++n)
        recordCrash(it.quarantine, it.now, bad, UpstreamId { n }, 1);
    // The same process cannot crash twice.
    recordCrash(it.quarantine, it.now, bad, UpstreamId { 1 }, 1);
    BOOST_CHECK(!findQuarantined(it.quarantine, it.now, bad));
    recordCrash(it.quarantine, it.now, bad, UpstreamId { 1 }, 2);
    const auto found = findQuarantined(it.quarantine, it.now, bad);
    BOOST_REQUIRE(found);
    BOOST_CHECK(found->kind == CrashSubject::Request);
    BOOST_CHECK_GE((found->retryAt - it.now).value, it.quarantine.options.firstRetry.value);
    BOOST_CHECK(!findQuarantined(it.quarantine, it.now, { .parts = {}, .fingerprint = 6 }));
}

// Guards against a sound request that many callers send and that is refused since it ran beside the one at fault.
BOOST_AUTO_TEST_CASE(OfARequestIsClearedByAnAnswer)
{
    Learner a;
    Learner b;
    const RequestContent common { .parts = {}, .fingerprint = 5 };
    recordCompleteAnswer(b.quarantine, b.now, common);
    for (uint64_t n = 1; n <= 3; ++n)
        recordCrash(a.quarantine, a.now, common, UpstreamId { n }, 1);
    BOOST_CHECK(findQuarantined(a.quarantine, a.now, common));
    applyCrashReport(b.quarantine, b.now, takeCrashReport(a.quarantine, a.now), false);
    applyCrashReport(a.quarantine, a.now, takeCrashReport(b.quarantine, b.now), false);
    BOOST_CHECK(!findQuarantined(a.quarantine, a.now, common));
    BOOST_CHECK(!findQuarantined(b.quarantine, b.now, common));
}

// Guards against requests that were beside many crashes and fill the table, so that the one at fault is not recorded.
BOOST_AUTO_TEST_CASE(HasRoomForNewSuspects)
{
    Learner it;
    for (uint64_t n = 0; n < it.quarantine.options.maxSuspects * 2; ++n) {
        it.now += 1_ms;
        recordCrash(it.quarantine, it.now, { .parts = {}, .fingerprint = 100 + n }, UpstreamId { 100 + n }, 1);
        if (n % 1000 == 999)
            recordCrash(it.quarantine, it.now, { .parts = {}, .fingerprint = 5 }, UpstreamId { n }, 1);
    }
    BOOST_CHECK(findQuarantined(it.quarantine, it.now, { .parts = {}, .fingerprint = 5 }));
    BOOST_CHECK_LE(it.quarantine.suspects.size(), it.quarantine.options.maxSuspects);
}

BOOST_AUTO_TEST_SUITE_END()

}
