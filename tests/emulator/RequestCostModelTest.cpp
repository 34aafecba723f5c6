#include "emulator/ForwardModel.h"
#include "forward/TargetChoice.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

BOOST_AUTO_TEST_SUITE(RequestCostModel)

namespace {

struct Runs {
    ForwardModelResult present;
    ForwardModelResult learned;
};

}

// Both policies with the same requests. `ageMs`: interval of the reports from nodes to hubs and from hubs to nodes.
static Runs runBoth(const std::vector<ModelClass>& classes, size_t nodes, int64_t ageMs)
{
    ForwardModelOptions options { .seed = 5, .nodes = nodes, .domains = 3, .classes = classes, .engines = { { 0_ms, 60 } }, .duration = 40_s, .hubInterval = { ageMs }, .jitterMs = costJitterMs(nodes), .separateDraws = true };
    Runs out;
    out.present = runForwardModel(options);
    options.learnsCosts = true;
    out.learned = runForwardModel(options);
    return out;
}

static std::string textOf(const ForwardModelResult& it)
{
    return "in time " + std::to_string(it.shareInTime()) + ", p99 of the first event " + std::to_string(it.firstEventMs(0.99)) + " ms, pauses " + std::to_string(it.pauses());
}

// 0.5% is allowed for chance.
static void checkInTime(const char* load, const std::vector<ModelClass>& classes, size_t nodes, int64_t ageMs, double lessP99 = 0)
{
    const Runs runs = runBoth(classes, nodes, ageMs);
    BOOST_TEST_MESSAGE(load << ", " << nodes << " nodes, reports " << ageMs << " ms old: present: " << textOf(runs.present) << "; learned: " << textOf(runs.learned)
                            << "; learned " << runs.learned.tokensPerMillionPairs << " tokens per million pairs, " << runs.learned.queueDelayMs << " ms per queued request");
    BOOST_TEST(runs.learned.shareInTime() >= runs.present.shareInTime() - 0.005);
    if (lessP99 > 0)
        BOOST_TEST(runs.learned.firstEventMs(0.99) <= (1 - lessP99) * runs.present.firstEventMs(0.99));
}

static ModelClass chat(std::string_view name, std::string_view account, double perSecond, double events)
{
    return { .name = name, .urgency = 1, .perSecond = perSecond, .target = 800_ms, .deadline = 6_s, .ownTokens = 1000, .ownSpread = 0.5, .events = events, .eventSpread = 0.3, .account = account, .hintFactor = 1, .hintSpread = 0.5 };
}

static std::vector<ModelClass> shortAndLongAnswers()
{
    return { chat("short", "a", 240, 5), chat("long", "a", 240, 400) };
}

static std::vector<ModelClass> wrongHints()
{
    std::vector<ModelClass> out;
    for (const std::string_view account : { "a", "b", "c", "d" }) {
        for (const double events : { 5.0, 400.0 })
            out.push_back(chat("chat", account, 60, events));
    }
    out[6].hintFactor = out[7].hintFactor = 0.1;
    return out;
}

static std::vector<ModelClass> changingMix()
{
    std::vector<ModelClass> out;
    for (const TimeMs start : { 0_s, 10_s, 20_s, 30_s }) {
        const bool answers = start == 10_s || start == 30_s;
        ModelClass it = chat("chat", "a", answers ? 240 : 140, answers ? 400 : 10);
        it.ownTokens = answers ? 500 : 9190;
        it.ownSpread = 1;
        it.target = 1500_ms;
        it.from = start;
        it.until = start + 10_s;
        out.push_back(it);
    }
    return out;
}

static std::vector<ModelClass> heavyPrompts(double perSecond)
{
    ModelClass heavy = chat("heavy", "a", perSecond, 20);
    heavy.ownTokens = 9190;
    heavy.ownSpread = 1;
    heavy.minOwnTokens = 1000;
    heavy.maxOwnTokens = 40000;
    heavy.target = 1500_ms;
    return { heavy };
}

// Load: the same prompts with answers of 5 and of 400 events. Failure: a queued request counts the same whatever occupies the slots.
BOOST_AUTO_TEST_CASE(shortAndLongAnswersFewNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("answers of 5 and 400 events", shortAndLongAnswers(), 8, age);
}

BOOST_AUTO_TEST_CASE(shortAndLongAnswersManyNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("answers of 5 and 400 events", shortAndLongAnswers(), 200, age);
}

// Load: the hints of one of four accounts are ten times too low. Failure: they spoil the expected time in a slot.
BOOST_AUTO_TEST_CASE(wrongHintsFewNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("hints of one account ten times too low", wrongHints(), 8, age);
}

BOOST_AUTO_TEST_CASE(wrongHintsManyNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("hints of one account ten times too low", wrongHints(), 200, age);
}

// Load: long prompts and long answers in turns of 10 s. Failure: what was learned from one mix harms the next one.
BOOST_AUTO_TEST_CASE(changingMixFewNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("long prompts and long answers in turns", changingMix(), 8, age);
}

BOOST_AUTO_TEST_CASE(changingMixManyNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("long prompts and long answers in turns", changingMix(), 200, age);
}

// Load: prompts of 1,000 to 40,000 tokens with attention cost, half of what the engines can do. Failure: requests queue behind prompts that
// count as less than they cost, or that reports tell late.
BOOST_AUTO_TEST_CASE(heavyPromptsFewNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("prompts of 1,000 to 40,000 tokens", heavyPrompts(100), 8, age, 0.1);
}

BOOST_AUTO_TEST_CASE(heavyPromptsManyNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("prompts of 1,000 to 40,000 tokens", heavyPrompts(100), 200, age, 0.1);
}

// The same with 40% more requests, so that peaks exceed what the engines can do.
BOOST_AUTO_TEST_CASE(manyHeavyPromptsFewNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("many prompts of 1,000 to 40,000 tokens", heavyPrompts(140), 8, age, 0.1);
}

BOOST_AUTO_TEST_CASE(manyHeavyPromptsManyNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("many prompts of 1,000 to 40,000 tokens", heavyPrompts(140), 200, age, 0.1);
}

// Load: the mix of the largest deployment, with shared prompt parts. Failure: what is learned sends requests away from their cached parts.
BOOST_AUTO_TEST_CASE(sharedPartsFewNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("long prompts with shared parts", largePromptClasses(300), 8, age);
}

BOOST_AUTO_TEST_CASE(sharedPartsManyNodes)
{
    for (const int64_t age : { 50, 300 })
        checkInTime("long prompts with shared parts", largePromptClasses(300), 200, age);
}

BOOST_AUTO_TEST_SUITE_END()
