#include "forward/TargetLimit.h"

#include "base/Random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

using namespace siskinshunt;

namespace {

// Most requests that an upstream may get in 4 s: one and a half times what its limit allows, plus 5.
double allowedInWindow(double perSecond)
{
    return 1.5 * perSecond * 4 + 5;
}

std::vector<NodeId> nodeIds(size_t count)
{
    std::vector<NodeId> out;
    for (size_t n = 0; n < count; ++n)
        out.push_back(idOfName<NodeId>("entry-" + std::to_string(n)));
    return out;
}

struct Outcome {
    size_t mostInWindow = 0;
    size_t sent = 0;
};

// All nodes want to send at every moment. Each sees all others but the `unseen` ones that follow it in the list.
Outcome sendFor(TimeMs duration, double perSecond, size_t count, size_t unseen = 0)
{
    const auto ids = nodeIds(count);
    std::vector<TargetLimit> limits(count);
    Outcome out;
    std::deque<TimeMs> window;
    Random random(count);
    for (TimeMs now { 1000000 }; now < TimeMs { 1000000 } + duration; now += 10_ms) {
        for (size_t n = 0; n < count; ++n) {
            auto& limit = limits[n];
            limit.perSecond = perSecond;
            if (now.value % 200 == 0) {
                auto seen = ids;
                for (size_t it = 0; it < unseen; ++it)
                    std::erase(seen, ids[(n + 1 + it) % count]);
                setShare(limit, now, UpstreamId { 7 }, ids[n], seen);
            }
            if (!canSend(limit, now) || !random.chance(0.9))
                continue;
            recordSend(limit, now);
            window.push_back(now);
            ++out.sent;
        }
        while (!window.empty() && now - window.front() > 4_s)
            window.pop_front();
        out.mostInWindow = std::max(out.mostInWindow, window.size());
    }
    return out;
}

}

// Guards against a limit that each node applies alone, and against shares that are so small or few that the limit is not used.
BOOST_AUTO_TEST_CASE(limitHoldsOverAllNodesAndIsUsed)
{
    for (const size_t nodes : { 1U, 8U, 72U, 400U }) {
        for (const double perSecond : { 0.3, 1.4, 2.7, 10.0, 60.0 }) {
            const auto outcome = sendFor(60_s, perSecond, nodes);
            BOOST_TEST_CONTEXT(nodes << " nodes at " << perSecond << "/s")
            {
                BOOST_TEST(static_cast<double>(outcome.mostInWindow) <= allowedInWindow(perSecond));
                BOOST_TEST(static_cast<double>(outcome.sent) >= perSecond * 60 * 0.8);
                BOOST_TEST(static_cast<double>(outcome.sent) <= perSecond * 60 + 1.5 * perSecond + 3);
            }
        }
    }
}

// Guards against nodes that exceed the limit together while each of them misses some members.
BOOST_AUTO_TEST_CASE(limitHoldsWhileNodesMissMembers)
{
    for (const double perSecond : { 0.3, 1.4, 2.7, 10.0 })
        BOOST_TEST(static_cast<double>(sendFor(60_s, perSecond, 72, 9).mostInWindow) <= allowedInWindow(perSecond));
}

// Guards against an upstream that named a limit of zero and never gets a request again, so that nobody learns of its end.
BOOST_AUTO_TEST_CASE(limitOfZeroLeavesAFewRequests)
{
    const auto outcome = sendFor(60_s, 0, 72);
    BOOST_TEST(outcome.mostInWindow <= 5U);
    BOOST_TEST(outcome.sent >= 5U);
}

// Guards against a node that is not one of those which share the limit and sends all the same.
BOOST_AUTO_TEST_CASE(nodeOutsideTheListSendsNothing)
{
    TargetLimit limit { .perSecond = 10 };
    setShare(limit, TimeMs { 1000 }, UpstreamId { 7 }, idOfName<NodeId>("leaving"), nodeIds(8));
    BOOST_TEST(!canSend(limit, TimeMs { 100000 }));
    BOOST_TEST(!timeUntilSend(limit, TimeMs { 100000 }).has_value());
}

// Guards against a caller that is told to come back before the request can be sent.
BOOST_AUTO_TEST_CASE(timeUntilSendIsTrue)
{
    TargetLimit limit { .perSecond = 0.7 };
    const auto ids = nodeIds(1);
    TimeMs now { 1000 };
    setShare(limit, now, UpstreamId { 7 }, ids[0], ids);
    const auto wait = timeUntilSend(limit, now);
    BOOST_REQUIRE(wait.has_value());
    BOOST_TEST((*wait > 1_s));
    BOOST_TEST(!canSend(limit, now + *wait - 2_ms));
    BOOST_TEST(canSend(limit, now + *wait));
}
