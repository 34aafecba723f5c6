#include "EntryFleet.h"

namespace siskinshunt {

namespace {

    // Links of the largest deployment: 10 Mbit/s at entry nodes, 1 Gbit/s at nodes with a data folder.
    const NodeFleetOptions slowLinks { .entryBytesPerMs = 1250, .diskNodeBytesPerMs = 125000 };
    // Budget of a node for the work of the control plane, in bytes.
    constexpr size_t memoryBudget = 64 << 20;

    std::string rulesWithRoutes(int routes, uint64_t number)
    {
        const std::string comment = " # operator at 10.0.0.1: manifest version " + std::to_string(number) + "\n";
        std::string out = "backend hire-desk health=/health connections=100" + comment;
        Random random(7);
        for (int n = 0; n < routes; ++n) {
            const std::string name = std::to_string(random.below(1000000000)) + "-" + std::to_string(n);
            out.append("forward r-").append(name).append(" host=ficu95.example prefix=/").append(name);
            out.append("/ kind=stream timeout=3000ms target=500ms gap=250ms priority=0 attempts=1 anonymous=no affinity=yes resume=no to=hire-desk:1").append(comment);
        }
        return out;
    }

    size_t maxBytesToSend(const EntryFleet& it)
    {
        size_t out = 0;
        for (const auto& node : it.fleet.nodes)
            out = std::max(out, node.maxBytesToSend);
        return out;
    }

}

BOOST_AUTO_TEST_SUITE(LargeConfigurations)

// Guards against views that are requested again while they are on their way, from any node, until the links of the entry nodes carry
// nothing else: configurations are late, leaving notices wait behind them, and the frames fill the memory.
BOOST_AUTO_TEST_CASE(AreInForceInTimeOnSlowLinks)
{
    EntryFleet it(20, 3, 4, slowLinks);
    uint64_t number = 0;
    for (const int routes : { 1400, 2800, 4200 }) {
        for (int n = 0; n < 2; ++n) {
            ++number;
            it.configure(number, rulesWithRoutes(routes, number));
        }
        it.fleet.runFor(configurationBound);
        it.checkInForce(1 + number);
        it.fleet.runFor(3_s);
    }
    BOOST_CHECK_LT(maxBytesToSend(it), memoryBudget);
    it.leave("desk-0");
    it.checkAllAware("desk-0");
    checkFleet(it.fleet);
}

// Guards against the same by a series of changes: a node that never gets a view whole before there is a newer one, and voters that hold
// each change in memory many times.
BOOST_AUTO_TEST_CASE(AreInForceInTimeDuringASeriesOfChanges)
{
    EntryFleet it(20, 3, 4, slowLinks);
    uint64_t number = 0;
    std::string rules = rulesWithRoutes(2800, 1);
    it.configure(++number, rules);
    it.fleet.runFor(3_s);
    for (int n = 0; n < 12; ++n) {
        const TimeMs next = it.fleet.now + 330_ms;
        ++number;
        it.configure(number, rulesWithRoutes(2800, number));
        if (n == 6)
            it.leave("desk-0");
        it.fleet.runFor(std::max(TimeMs {}, next - it.fleet.now));
        if (number > 8)
            it.checkInForce(1 + number - 7);
    }
    it.fleet.runFor(configurationBound);
    it.checkInForce(1 + number);
    BOOST_CHECK(it.unaware("desk-0").empty());
    BOOST_CHECK_LT(maxBytesToSend(it), memoryBudget);
    checkFleet(it.fleet);
}

// Guards against configurations that are replicated and kept in memory uncompressed, twice over: as received and as rules.
BOOST_AUTO_TEST_CASE(AreReplicatedInAFractionOfTheirSize)
{
    EntryFleet it(4, 3, 2);
    const std::string rules = rulesWithRoutes(4200, 1);
    const auto replicatedBytes = [&] {
        uint64_t sum = 0;
        for (size_t n = 0; n < it.controls; ++n) {
            const auto& sent = it.fleet.nodes[n].node->sentBytes;
            for (const FrameKind kind : { FrameKind::Consensus, FrameKind::Propose })
                sum += sent.contains(kind) ? sent.at(kind) : 0;
        }
        return sum;
    };
    const uint64_t before = replicatedBytes();
    it.configure(1, rules);
    it.fleet.runFor(1_s);
    it.checkInForce(2);
    BOOST_CHECK_LT(replicatedBytes() - before, rules.size());
}

// Guards against a valid configuration that is refused because its rules are longer than a limit meant for rules written by hand.
BOOST_AUTO_TEST_CASE(OfThousandsOfRoutesAreAccepted)
{
    EntryFleet it(2, 3, 2);
    it.configure(1, rulesWithRoutes(12000, 1));
    it.fleet.runFor(configurationBound);
    it.checkInForce(2);
}

// Guards against nodes that ask voters which have just started and do not know them, so that the answers have no address.
BOOST_AUTO_TEST_CASE(AreSentByVotersThatDoNotKnowTheNode)
{
    EntryFleet it(4, 3, 2);
    const size_t last = it.fleet.nodes.size() - 1;
    Node& entry = *it.fleet.nodes[last].node;
    it.fleet.loss = 1;
    it.fleet.losesFrame = [&](size_t, size_t to, const std::string&) { return to == last; };
    it.configure(1, rulesWithRoutes(20, 1));
    it.fleet.runFor(500_ms);
    it.fleet.losesFrame = nullptr;
    for (size_t n = 0; n < it.controls; ++n)
        it.fleet.nodes[n].node->membership.members.erase(entry.self);
    // A catch-up request of its own would introduce the node.
    entry.catchUp.nextAsk = it.fleet.now + 10_s;
    const Node& voter = *it.fleet.nodes[0].node;
    entry.membership.members.at(voter.self).status.directive = voter.view.index;
    entry.viewTransfer.nextMemberCheck = {};
    it.fleet.runFor(200_ms);
    it.checkInForce(2);
}

BOOST_AUTO_TEST_SUITE_END()

}
