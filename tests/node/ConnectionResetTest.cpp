#include "EntryFleet.h"

#include <map>

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(ConnectionResets)

namespace {

    /// Resets a part of the connections between nodes again and again: frames that are on their way over one are lost.
    struct Resets {
        Resets(NodeFleet& fleet, uint64_t seed, double share)
            : random(seed)
            , share(share)
        {
            fleet.losesFrame = [this, &fleet](size_t from, size_t to, const std::string&) {
                if (fleet.now >= until) {
                    until = fleet.now + interval;
                    connections.clear();
                }
                const auto [it, isNew] = connections.try_emplace({ from, to }, false);
                if (isNew)
                    it->second = random.chance(this->share);
                return active && it->second;
            };
        }

        static constexpr TimeMs interval { 150 };
        Random random;
        double share;
        bool active = false;
        TimeMs until;
        std::map<std::pair<size_t, size_t>, bool> connections; ///< By sender and receiver; whether it is reset in this interval.
    };

}

// Guards against acknowledged configurations and leaving notices that are lost, or late, when connections of voters and hubs to each other
// and to entry nodes are reset in series around the acknowledgement.
static void checkResets(int entries, int controls, uint64_t seed, double share)
{
    EntryFleet it(entries, controls, 8);
    Resets resets(it.fleet, seed, share);
    uint64_t number = 0;
    for (int n = 0; n < 4; ++n) {
        const uint64_t before = it.fleet.nodes[it.controls].node->rules->revision;
        const std::string name = "desk-" + std::to_string(n);
        resets.active = true;
        it.fleet.runFor(500_ms);
        it.configure(++number, "backend hire-desk # Asma: change " + std::to_string(n) + "\n");
        it.leave(name);
        // A node is in touch again when its connections have not been reset for some time.
        it.fleet.runFor(400_ms);
        resets.active = false;
        it.fleet.runFor(configurationBound - 400_ms);
        it.checkInForce(before + 1);
        it.fleet.runFor(100_ms);
        const auto left = it.unaware(name);
        BOOST_CHECK_MESSAGE(left.empty(), left.size() << " entry nodes still send to " << name << ", among them " << (left.empty() ? "" : left.front()));
    }
    for (const auto& text : it.fleet.violations)
        BOOST_ERROR(text);
}

BOOST_AUTO_TEST_CASE(NothingIsLostOrLateInASmallFleet)
{
    checkResets(6, 5, 1, 0.5);
}

BOOST_AUTO_TEST_CASE(NothingIsLostOrLateBehindHubs)
{
    checkResets(24, 5, 2, 0.5);
    checkResets(24, 5, 3, 0.7);
}

BOOST_AUTO_TEST_CASE(NothingIsLostOrLateInLargeDomains)
{
    checkResets(120, 9, 4, 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

}
