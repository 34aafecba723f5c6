#include "EntryFleet.h"
#include "ForwardFixture.h"

#include "node/LoadHubs.h"

#include <deque>

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(SpendingHubs)

namespace {

    constexpr double accountRate = 2000; // Tokens per second, also the burst.
    constexpr double requestTokens = 20;

    // Entry nodes in three failure domains whose callers have one account.
    struct SpendingFleet : EntryFleet {
        SpendingFleet()
            : EntryFleet(30, 5, 3)
        {
            const std::string author = " # Asma: spending\n";
            configure(1, "backend hire-desk" + author + "forward look host=h prefix=/look/ kind=repeatable timeout=2s target=1s attempts=1 anonymous=no to=hire-desk:1" + author + "allowance tin rate=2000 burst=2000 tokens=yes" + author + "caller-key t account=tin token-sha256=" + sha256Hex("t") + author);
            fleet.runFor(3_s);
            fleet.forwardAnswer = [](size_t, const UpstreamDispatch& it) { return HttpHeaders { { HeaderNames {}.requestId, it.idValue }, { HeaderNames {}.receipt, "proof" } }; };
        }

        // Sends requests at random nodes for this part of the account's rate.
        void send(TimeMs duration, double share)
        {
            const double pause = requestTokens / (accountRate * share) * 1000;
            const TimeMs end = fleet.now + duration;
            for (double next = static_cast<double>(fleet.now.value); fleet.now < end;) {
                for (; next <= static_cast<double>(fleet.now.value); next += fleet.random.exponential(pause)) {
                    const std::string id = "r" + std::to_string(calls.size());
                    const size_t node = controls + fleet.random.below(fleet.nodes.size() - controls);
                    calls.push_back({ fleet.post(node, { "GET", "/look/" + id, { { "Host", "h" }, { "Authorization", "Bearer t" }, { HeaderNames {}.requestId, id }, { HeaderNames {}.tokens, "15,5" } }, {} }, ListenerKind::Forward), fleet.now });
                }
                fleet.runFor(10_ms);
            }
        }

        size_t refusedSince(size_t from) const
        {
            return static_cast<size_t>(std::count_if(calls.begin() + static_cast<std::ptrdiff_t>(from), calls.end(), [&](const auto& it) { return fleet.callers.at(it.first).status == 429; }));
        }

        // Largest number of tokens that were sent and admitted within 8 s.
        double largestSpending() const
        {
            std::deque<TimeMs> window;
            size_t largest = 0;
            for (const auto& [call, at] : calls) {
                if (fleet.callers.at(call).status != 200)
                    continue;
                window.push_back(at);
                while (at - window.front() > 8_s)
                    window.pop_front();
                largest = std::max(largest, window.size());
            }
            return static_cast<double>(largest) * requestTokens;
        }

        // Index of the hub to which the last entry node reports.
        size_t hubNode()
        {
            const NodeId hub = domainHub(*fleet.nodes.back().node);
            for (size_t n = 0; n < fleet.nodes.size(); ++n) {
                if (fleet.nodes[n].node->self == hub)
                    return n;
            }
            BOOST_FAIL("the last entry node has no hub");
            return 0;
        }

        std::vector<std::pair<uint64_t, TimeMs>> calls; ///< Caller and time of each request.
    };

}

// Guards against spending that is counted twice when a frozen hub is back: an account below its rate was refused for some seconds in the failure
// domain of the hub.
BOOST_AUTO_TEST_CASE(AccountBelowItsRateIsNotRefusedAfterAFreezeOfAHub)
{
    SpendingFleet it;
    it.send(5_s, 0.7);
    const size_t hub = it.hubNode();
    it.fleet.freeze(hub);
    it.send(7_s, 0.7);
    it.fleet.thaw(hub);
    it.send(8_s, 0.7);
    it.fleet.runFor(2_s);
    BOOST_CHECK_LE(it.refusedSince(0), it.calls.size() / 1000);
}

// Guards against the same after each of several changes between two hubs.
BOOST_AUTO_TEST_CASE(AccountBelowItsRateIsNotRefusedAfterRepeatedFreezes)
{
    SpendingFleet it;
    it.send(4_s, 0.7);
    for (int n = 0; n < 3; ++n) {
        const size_t hub = it.hubNode();
        it.fleet.freeze(hub);
        it.send(5_s, 0.7);
        it.fleet.thaw(hub);
        it.send(4_s, 0.7);
    }
    it.fleet.runFor(2_s);
    BOOST_CHECK_LE(it.refusedSince(0), it.calls.size() / 1000);
}

// Guards against spending that nobody counts while the hub changes: a flood would exceed the limit of the account.
BOOST_AUTO_TEST_CASE(FloodKeepsToTheLimitWhenTheHubChanges)
{
    SpendingFleet it;
    it.send(8_s, 3);
    const size_t hub = it.hubNode();
    it.fleet.freeze(hub);
    it.send(7_s, 3);
    it.fleet.thaw(hub);
    it.send(9_s, 3);
    it.fleet.runFor(2_s);
    BOOST_CHECK_LE(it.largestSpending(), (accountRate * 8 + accountRate) * 1.1);
}

BOOST_AUTO_TEST_SUITE_END()

}
