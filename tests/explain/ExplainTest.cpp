#include "explain/Explain.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static DecisionRecord decision(TimeMs at, std::string call, std::string text = {})
{
    return { .at = at, .code = DecisionCode::Route, .subjects = { { SubjectKind::Call, std::move(call) } }, .rule = { 12, "amina", "route crew" }, .text = std::move(text) };
}

// Guards against a ring buffer that exceeds its capacity or loses its order when it wraps around.
BOOST_AUTO_TEST_CASE(ringKeepsTheLatestInOrder)
{
    ExplainRing ring({ 1 }, { .records = 10 });
    for (int n = 0; n < 25; ++n)
        ring.add(decision({ n }, n % 2 ? "odd" : "even"));
    BOOST_TEST(ring.size() == 10U);
    BOOST_TEST(ring.overwritten() == 15U);
    const auto odd = ring.find("odd");
    BOOST_REQUIRE(odd.size() == 5U);
    BOOST_TEST(odd.front().at.value == 15);
    BOOST_TEST(odd.back().at.value == 23);
    BOOST_TEST(ring.find("odd", 2).front().at.value == 21);
    BOOST_TEST(ring.latest(3).front().at.value == 22);
    BOOST_TEST(ring.find("unknown").empty());
}

// Guards against records of unbounded size, and against truncation inside a UTF-8 character, which yields invalid JSON.
BOOST_AUTO_TEST_CASE(longTextsAreCutAtCharacters)
{
    ExplainRing ring({ 1 }, { .textBytes = 5 });
    ring.add(decision({ 1 }, std::string(500, 'c'), "abcd\u00e9\u00e9"));
    const auto found = ring.find(std::string(500, 'c'));
    BOOST_REQUIRE(found.size() == 1U);
    BOOST_TEST(found[0].text == "abcd");
    BOOST_TEST(found[0].subjects[0].id.size() == 64U);
}

// Guards against an explanation whose records are out of order, duplicated, or lack the rule and person.
BOOST_AUTO_TEST_CASE(mergeOrdersAnswersOfSeveralNodes)
{
    ExplainRing a({ 1 });
    ExplainRing b({ 2 });
    a.add(decision({ 10 }, "x", "first"));
    b.add(decision({ 20 }, "x", "second"));
    a.add(decision({ 30 }, "x", "third"));
    // The clock of node 1 is set back; its records must stay in order.
    a.add(decision({ 5 }, "x", "fourth"));
    const auto merged = mergeDecisions({ a.find("x"), b.find("x"), a.find("x") });
    BOOST_REQUIRE(merged.size() == 4U);
    BOOST_TEST(merged[0].text == "first");
    BOOST_TEST(merged[1].text == "second");
    BOOST_TEST(merged[2].text == "third");
    BOOST_TEST(merged[3].text == "fourth");
    BOOST_TEST(toString(merged[0]) == "route call=x: first (rules line 12, amina: route crew)");
    BOOST_TEST(mergeDecisions({ a.find("x") }, 2).front().text == "third");
}
