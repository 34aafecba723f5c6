#include "forward/EntryWeights.h"

#include "base/Hash.h"
#include "base/Random.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <set>

using namespace siskinshunt;

BOOST_AUTO_TEST_SUITE(EntryWeightsSuite)

// Capacities of the entry nodes of the Kataster deployment.
static constexpr EntryCapacity smallNode { 0.09, 7.5 };
static constexpr EntryCapacity largeNode { 0.3, 25 };

static EntryCandidate candidate(size_t n, bool sameDomain, double weight)
{
    return { { 1000 + n }, "10.0." + std::to_string(n / 100) + "." + std::to_string(10 + n % 100) + ":80", sameDomain, weight };
}

static std::vector<EntryCandidate> alike(size_t same, size_t other, double weight = 1)
{
    std::vector<EntryCandidate> out;
    for (size_t n = 0; n < same + other; ++n)
        out.push_back(candidate(n, n < same, weight));
    return out;
}

static std::string peerOf(size_t client)
{
    return "127.0." + std::to_string(client / 200) + "." + std::to_string(1 + client % 200) + ":40000";
}

// Share of the responses to 2,000 clients, each of one address, that go to each node.
static std::map<std::string, double> frequencies(const std::vector<EntryCandidate>& candidates, double otherShare = 0)
{
    static constexpr size_t clients = 2000;
    std::map<std::string, double> out;
    for (size_t n = 0; n < clients; ++n) {
        for (const auto& address : chooseEntries(candidates, hash64(peerOf(n)), otherShare))
            out[address] += 1.0 / clients;
    }
    return out;
}

// Guards against another response than that of earlier builds where all nodes are alike: all nodes of the domain in order, at most 64, and all
// others if those are fewer than three.
BOOST_AUTO_TEST_CASE(alikeNodesAreAllNamed)
{
    for (const size_t same : { 0U, 1U, 2U, 3U, 27U, 64U, 90U }) {
        auto candidates = alike(same, 30, 0.7);
        std::vector<std::string> expected;
        std::vector<std::string> others;
        for (const auto& it : candidates)
            (it.sameDomain ? expected : others).push_back(it.address);
        std::sort(expected.begin(), expected.end());
        std::sort(others.begin(), others.end());
        if (expected.size() < 3)
            expected.insert(expected.end(), others.begin(), others.end());
        expected.resize(std::min<size_t>(expected.size(), 64));
        Random random(same + 1);
        for (size_t n = candidates.size(); n > 1; --n)
            std::swap(candidates[n - 1], candidates[random.below(n)]);
        BOOST_TEST(chooseEntries(candidates, random.next(), 0) == expected, boost::test_tools::per_element());
    }
    BOOST_TEST(chooseEntries({}, 1, 0).empty());
}

// Guards against responses that change because nodes of another domain, which are not named, have other weights.
BOOST_AUTO_TEST_CASE(otherDomainsDoNotMatterWhereTheDomainIsWhole)
{
    auto candidates = alike(20, 30);
    const auto before = chooseEntries(candidates, 7, 0);
    for (auto& it : candidates)
        it.weight = it.sameDomain ? 1 : 0.1;
    BOOST_TEST(chooseEntries(candidates, 7, 0) == before, boost::test_tools::per_element());
}

// Guards against frequencies that do not follow the weights, as with the first keys of weighted rendezvous hashing, where large nodes get less
// than their part.
BOOST_AUTO_TEST_CASE(frequenciesFollowWeights)
{
    std::vector<EntryCandidate> candidates;
    for (size_t n = 0; n < 30; ++n)
        candidates.push_back(candidate(n, true, n % 3 == 0 ? 1 : n % 3 == 1 ? 0.5
                                                                            : 0.2));
    const auto seen = frequencies(candidates);
    double worst = 0;
    for (const auto& it : candidates) {
        // 17 nodes are named, so that a node of weight 1 is in each response.
        const double expected = it.weight;
        const double found = seen.contains(it.address) ? seen.at(it.address) : 0;
        worst = std::max(worst, std::abs(found - expected));
        // Four standard deviations of 2,000 responses at a frequency of one half.
        BOOST_CHECK_SMALL(found - expected, 0.045);
    }
    BOOST_TEST_MESSAGE("largest difference of a frequency from its weight: " << worst);
}

// Guards against responses of fewer than three addresses, or more than 64, whatever the weights.
BOOST_AUTO_TEST_CASE(threeToSixtyFourAddressesAreNamed)
{
    Random random(5);
    for (int round = 0; round < 500; ++round) {
        std::vector<EntryCandidate> candidates;
        const size_t nodes = 1 + random.below(200);
        for (size_t n = 0; n < nodes; ++n)
            candidates.push_back(candidate(n, random.chance(0.4), random.chance(0.1) ? 1000 : random.uniform() + 0.001));
        const auto named = chooseEntries(candidates, random.next(), random.chance(0.5) ? random.uniform() : 0);
        BOOST_CHECK_GE(named.size(), std::min<size_t>(3, nodes));
        BOOST_CHECK_LE(named.size(), 64U);
        BOOST_CHECK_EQUAL(std::set<std::string>(named.begin(), named.end()).size(), named.size());
    }
}

// Load: 300 clients of Kataster's 80 entry nodes in three domains, each with 20 new connections. Guards against large nodes that get as many
// connections as small ones.
BOOST_AUTO_TEST_CASE(connectionsFollowCapacity)
{
    std::vector<EntryCapacity> capacities(61, smallNode);
    capacities.resize(80, largeNode);
    const auto weights = relativeCapacities(capacities);
    Random random(11);
    std::map<std::string, double> connections;
    for (size_t client = 0; client < 300; ++client) {
        std::vector<EntryCandidate> candidates;
        for (size_t n = 0; n < 80; ++n)
            candidates.push_back(candidate(n, n % 3 == client % 3, weights[n]));
        const auto named = chooseEntries(candidates, hash64(peerOf(client)), 0);
        for (int n = 0; n < 20; ++n)
            ++connections[named[random.below(named.size())]];
    }
    double small = 0;
    double large = 0;
    for (size_t n = 0; n < 80; ++n)
        (n < 61 ? small : large) += connections[candidate(n, true, 1).address];
    const double perSmall = small / (61 * smallNode.cpuShare);
    const double perLarge = large / (19 * largeNode.cpuShare);
    BOOST_TEST_MESSAGE("connections per core: " << perSmall << " at small nodes, " << perLarge << " at large ones");
    BOOST_CHECK_LE(std::max(perSmall, perLarge), 1.15 * std::min(perSmall, perLarge));
    // Each node has its part as well: of 40,000 clients, so that chance does not hide a bias.
    std::map<std::string, double> each;
    std::vector<EntryCandidate> domain;
    for (size_t n = 0; n < 80; n += 3)
        domain.push_back(candidate(n, true, weights[n]));
    for (size_t client = 0; client < 40000; ++client) {
        const auto named = chooseEntries(domain, combineHash(client, 3), 0);
        for (const auto& it : named)
            each[it] += 1.0 / static_cast<double>(named.size());
    }
    double least = 1e9;
    double most = 0;
    for (size_t n = 0; n < 80; n += 3) {
        const double perCore = each[candidate(n, true, 1).address] / (n < 61 ? smallNode : largeNode).cpuShare;
        least = std::min(least, perCore);
        most = std::max(most, perCore);
    }
    BOOST_TEST_MESSAGE("expected connections per core of the nodes of a domain: largest over smallest " << most / least);
    BOOST_CHECK_LE(most, 1.15 * least);
}

// Guards against clients that close most of their connections when one node becomes late or leaves.
BOOST_AUTO_TEST_CASE(responsesChangeLittle)
{
    std::vector<EntryCandidate> candidates;
    for (size_t n = 0; n < 27; ++n)
        candidates.push_back(candidate(n, true, n < 20 ? 0.09 : 0.3));
    auto changed = candidates;
    changed[3].weight *= 0.2;
    changed.erase(changed.begin() + 12);
    size_t kept = 0;
    size_t named = 0;
    for (size_t n = 0; n < 300; ++n) {
        const auto before = chooseEntries(candidates, hash64(peerOf(n)), 0);
        const auto after = chooseEntries(changed, hash64(peerOf(n)), 0);
        named += before.size();
        kept += static_cast<size_t>(std::count_if(before.begin(), before.end(), [&](const auto& it) { return std::find(after.begin(), after.end(), it) != after.end(); }));
    }
    BOOST_TEST_MESSAGE("addresses kept: " << kept << " of " << named);
    BOOST_CHECK_GE(static_cast<double>(kept), 0.85 * static_cast<double>(named));
}

// Guards against clients behind one IP address that all get the same few nodes, and against a single client whose responses change with its port.
BOOST_AUTO_TEST_CASE(clientsOfOneAddressAreSpread)
{
    ClientAddresses clients;
    std::set<uint64_t> single;
    for (int n = 0; n < 50; ++n)
        single.insert(clientKey(clients, TimeMs { 2000 * n }, "127.0.0.5:" + std::to_string(40000 + n), 2_s));
    BOOST_TEST(single.size() == 1U);
    std::vector<EntryCandidate> candidates;
    for (size_t n = 0; n < 27; ++n)
        candidates.push_back(candidate(n, true, n < 20 ? 0.09 : 0.3));
    std::map<std::string, double> connections;
    for (int n = 0; n < 300; ++n) {
        const auto named = chooseEntries(candidates, clientKey(clients, TimeMs { 7 * n }, "127.0.0.9:" + std::to_string(40000 + n), 2_s), 0);
        for (const auto& it : named)
            connections[it] += 1.0 / static_cast<double>(named.size());
    }
    BOOST_TEST(connections.size() == 27U);
    double small = 0;
    double large = 0;
    for (size_t n = 0; n < 27; ++n)
        (n < 20 ? small : large) += connections[candidate(n, true, 1).address];
    BOOST_TEST_MESSAGE("connections per core: " << small / 1.8 << " at small nodes, " << large / 2.1 << " at large ones");
    BOOST_CHECK_LE(std::max(small / 1.8, large / 2.1), 1.15 * std::min(small / 1.8, large / 2.1));
}

// Guards against a table that grows with the number of IP addresses.
BOOST_AUTO_TEST_CASE(clientAddressesAreBounded)
{
    ClientAddresses clients;
    for (int n = 0; n < 100000; ++n)
        clientKey(clients, TimeMs { n }, "10." + std::to_string(n / 65536) + "." + std::to_string(n / 256 % 256) + "." + std::to_string(n % 256) + ":1", 2_s);
    BOOST_CHECK_LE(clients.byIp.size(), 1024U);
}

// Guards against nodes without a report that count as small or large, and against a capacity that ignores the scarcer resource.
BOOST_AUTO_TEST_CASE(unknownCapacityCountsAsTheMean)
{
    const auto weights = relativeCapacities({ { 0.1, 0 }, { 0.3, 0 }, {}, { 0, 0 } });
    BOOST_CHECK_CLOSE(weights[0], 0.5, 0.01);
    BOOST_CHECK_CLOSE(weights[1], 1.5, 0.01);
    BOOST_CHECK_CLOSE(weights[2], 1, 0.01);
    BOOST_CHECK_CLOSE(weights[3], 1, 0.01);
    // Much processor and a slow link: the link limits the node.
    const auto scarce = relativeCapacities({ { 0.3, 5 }, { 0.1, 5 }, { 0.1, 15 } });
    BOOST_CHECK_CLOSE(scarce[0], scarce[1], 0.01);
    BOOST_CHECK_CLOSE(scarce[1], scarce[2], 0.01);
    for (const double it : relativeCapacities({ {}, {}, {} }))
        BOOST_TEST(it == 1.0);
}

// Failure: a node is 500 ms late, then punctual again. Guards against one that keeps its clients, loses all of them, or gets all back at once.
BOOST_AUTO_TEST_CASE(lateNodeLosesClientsAndComesBackInSteps)
{
    EntryStanding standing;
    TimeMs now { 1000 };
    for (; now < 10_s; now += 1_s)
        updateStanding(standing, now, 60_ms);
    BOOST_TEST(standing.factor == 1.0);
    updateStanding(standing, now, 500_ms);
    BOOST_CHECK_LE(standing.factor, 0.5);
    BOOST_CHECK_GE(standing.factor, 0.02);
    updateStanding(standing, now += 1_s, 60_s);
    BOOST_CHECK_GE(standing.factor, 0.02);
    int steps = 0;
    for (double before = standing.factor; standing.factor < 1; before = standing.factor, ++steps) {
        updateStanding(standing, now += 1_s, 0_ms);
        BOOST_CHECK_LE(standing.factor, 2 * before);
        BOOST_REQUIRE_LE(steps, 10);
    }
    BOOST_TEST_MESSAGE("back after " << steps << " s");
    BOOST_CHECK_GE(steps, 3);
}

// Guards against a meter that takes one short stall of a small node for lateness, or that misses a node that is always late.
BOOST_AUTO_TEST_CASE(latenessIsAveragedOverTime)
{
    LatenessMeter meter;
    for (int n = 0; n < 40; ++n)
        recordLateness(meter, 20_ms, n == 7 ? 90_ms : 1_ms);
    BOOST_TEST((takeLateness(meter) <= 20_ms));
    for (int n = 0; n < 2; ++n)
        recordLateness(meter, 20_ms, 500_ms);
    BOOST_TEST((takeLateness(meter) == 500_ms));
    BOOST_TEST((takeLateness(meter) == 0_ms));
}

// Failure: a domain loses two thirds of its nodes. Guards against its clients overloading the rest, against nodes of other domains while the
// domain has most of its nodes, and against leaving a domain when the others are as short.
BOOST_AUTO_TEST_CASE(shortDomainUsesOtherDomains)
{
    std::map<std::string, DomainWeight> domains;
    const auto update = [&](TimeMs now, double a, double b, double c) {
        updateDomainWeight(domains["a"], now, a);
        updateDomainWeight(domains["b"], now, b);
        updateDomainWeight(domains["c"], now, c);
    };
    update(1_s, 27, 27, 26);
    BOOST_TEST(shareOfOtherDomains(domains, "a") == 0.0);
    update(2_s, 18, 27, 26);
    BOOST_TEST(shareOfOtherDomains(domains, "a") == 0.0);
    update(3_s, 9, 27, 26);
    const double share = shareOfOtherDomains(domains, "a");
    BOOST_CHECK_CLOSE(share, 1.0 / 3, 1);
    BOOST_TEST(shareOfOtherDomains(domains, "b") == 0.0);
    double found = 0;
    for (size_t n = 0; n < 300; ++n) {
        const auto named = chooseEntries(alike(9, 53), hash64(peerOf(n)), share);
        const auto others = std::count_if(named.begin(), named.end(), [](const auto& it) { return it > candidate(8, true, 1).address; });
        found += static_cast<double>(others) / static_cast<double>(named.size()) / 300;
    }
    BOOST_TEST_MESSAGE("share of the connections that go to other domains: " << found);
    BOOST_CHECK_CLOSE(found, share, 15);
    update(4_s, 9, 9, 8);
    BOOST_TEST(shareOfOtherDomains(domains, "a") == 0.0);
    // Nodes that were removed by plan are forgotten.
    for (TimeMs now = 5_s; now < 1_s * 3600; now += 1_s)
        update(now, 9, 27, 26);
    BOOST_TEST(shareOfOtherDomains(domains, "a") == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()
