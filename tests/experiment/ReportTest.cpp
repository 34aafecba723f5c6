#include "experiment/LoadTally.h"
#include "experiment/RunReport.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static Json runWith(CallResult result)
{
    LoadTally tally({ 1000 });
    tally.record({ .mix = "chat", .result = CallResult::Answered, .startedAt = { 100 }, .firstToken = { 40 }, .total = { 240 }, .tokens = 11, .version = "v<1>" });
    tally.record({ .mix = "chat", .result = result, .startedAt = { 1200 }, .total = { 9 }, .code = "limit", .run = "not-run" });
    tally.addCost({ .at = { 0 }, .perHour = 2, .spent = 1 });
    tally.addCost({ .at = { 1000 }, .perHour = 2, .spent = 3 });
    return tally.toJson(Json::object({ { "config", "c.json" }, { "seed", 1 }, { "duration_s", 2.0 }, { "arrivals", 2 } }));
}

// Guards against a report that shows a run as clean although an answer was lost or cut.
BOOST_AUTO_TEST_CASE(onlyRunsWithoutLostAnswersAreClean)
{
    BOOST_TEST(runIsClean(runWith(CallResult::Refused), true));
    for (const auto result : { CallResult::Lost, CallResult::Cut, CallResult::Crossed })
        BOOST_TEST(!runIsClean(runWith(result), false));

    LoadTally tally({ 1000 });
    tally.setAudit({ .doubled = { "k" }, .falseNotRun = {}, .missing = {} });
    BOOST_TEST(!runIsClean(tally.toJson({}), false));

    LoadTally broken({ 1000 });
    broken.record({ .mix = "chat", .broken = 1 });
    BOOST_TEST(runIsClean(broken.toJson({}), false));
    BOOST_TEST(!runIsClean(broken.toJson({}), true));
}

// Guards against figures that are missing in the saved run or in the table.
BOOST_AUTO_TEST_CASE(tableShowsFiguresOfTheSavedRun)
{
    const auto saved = parseJson(toText(runWith(CallResult::Refused)), "run").value();
    const auto table = renderTable({ saved });
    BOOST_TEST(table.find("c.json, seed 1, 2 s, 2 calls: clean") != std::string::npos);
    BOOST_TEST(table.find("limit not-run") != std::string::npos);
    BOOST_TEST(saved["mixes"]["chat"]["first_token_ms"]["count"].asInt() == 1);
    BOOST_TEST(saved["windows"].items.size() == 2u);
    const auto both = renderTable({ saved, runWith(CallResult::Lost) });
    BOOST_TEST(both.find("NOT CLEAN") != std::string::npos);
    BOOST_TEST(both.find("0 | 1") != std::string::npos);
}

// Guards against a page that loads external resources or does not escape text.
BOOST_AUTO_TEST_CASE(htmlIsSelfContainedAndEscaped)
{
    const auto html = renderHtml({ runWith(CallResult::Refused) });
    BOOST_TEST(html.find("<svg") != std::string::npos);
    BOOST_TEST(html.find("v&lt;1&gt;") != std::string::npos);
    BOOST_TEST(html.find("v<1>") == std::string::npos);
    BOOST_TEST(html.find("src=") == std::string::npos);
    BOOST_TEST(html.find("href=") == std::string::npos);
    BOOST_TEST(html.ends_with("</body></html>\n"));
}
