#include "experiment/FaultPlan.h"

#include <boost/test/unit_test.hpp>
#include <map>

using namespace siskinshunt;

static std::string textOf(const FaultPlanOptions& options)
{
    std::string out;
    for (const auto& it : makeFaultPlan(options))
        out += toLine(it) + "\n";
    return out;
}

// Guards against plans that are not reproducible from the seed.
BOOST_AUTO_TEST_CASE(planRepeatsWithTheSeed)
{
    BOOST_TEST(textOf({ .seed = 5 }) == textOf({ .seed = 5 }));
    BOOST_TEST(textOf({ .seed = 5 }) != textOf({ .seed = 6 }));
}

// Guards against plans that leave voters, failure domains or versions unavailable at the end, from which no system could
// recover.
BOOST_AUTO_TEST_CASE(everyFaultIsReverted)
{
    const std::map<FaultAction, FaultAction> pairs {
        { FaultAction::Kill, FaultAction::Restart },
        { FaultAction::Stop, FaultAction::Continue },
        { FaultAction::ReclaimEngine, FaultAction::RestartEngine },
        { FaultAction::ReclaimDomain, FaultAction::RestartDomain },
        { FaultAction::RefuseStarts, FaultAction::AllowStarts },
        { FaultAction::BadVersion, FaultAction::GoodVersion },
    };
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        const auto plan = makeFaultPlan({ .seed = seed, .duration = { 120000 }, .meanGap = { 700 } });
        BOOST_TEST(countUnavailableVoters(plan, 5).atEnd == 0u);
        for (const auto& [startAction, endAction] : pairs) {
            std::map<std::string, int64_t> open;
            for (const auto& it : plan) {
                BOOST_TEST(it.at.value <= 115000);
                if (it.action == startAction)
                    open[it.target] = it.at.value;
                if (it.action == endAction)
                    open.erase(it.target);
            }
            BOOST_TEST(open.empty(), "seed " << seed << ": " << nameOf(startAction) << " is not reverted");
        }
    }
}

// Guards against plans that wipe a voter while others are unavailable, so that no quorum has the data.
BOOST_AUTO_TEST_CASE(otherVotersAreUpAroundAWipe)
{
    size_t wipes = 0;
    for (uint64_t seed = 1; seed <= 300; ++seed) {
        const auto plan = makeFaultPlan({ .seed = seed, .duration = { 120000 }, .meanGap = { 700 } });
        std::vector<FaultStep> before;
        for (const auto& it : plan) {
            if (it.action != FaultAction::Wipe) {
                before.push_back(it);
                continue;
            }
            ++wipes;
            BOOST_TEST(countUnavailableVoters(before, 5).atEnd == 0u);
            for (const auto& other : plan) {
                const bool stopsVoter = (other.action == FaultAction::Kill || other.action == FaultAction::Stop) && other.target <= "daemon-5" && other.target.size() == 8;
                BOOST_TEST(!(stopsVoter && other.at >= it.at && other.at < it.at + TimeMs { 10000 }));
            }
        }
    }
    BOOST_TEST(wipes > 20u);
}
