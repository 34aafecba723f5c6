#include "bench/AllocationCount.h"
#include "bench/Bench.h"
#include "bench/NodeFleet.h"
#include "membership/GossipNetwork.h"
#include "node/PeerMessages.h"
#include "routing/Router.h"

#include <algorithm>
#include <cstdio>
#include <ctime>
#include <optional>
#include <stdexcept>

namespace siskinshunt {

namespace {

    std::string suffixOf(size_t n)
    {
        return "." + std::to_string(n);
    }

    Announcement announcementOf(size_t n)
    {
        Announcement it;
        it.name = "runner-" + std::to_string(n);
        it.address = "10.9." + std::to_string(n / 250) + "." + std::to_string(n % 250 + 1) + ":8000";
        it.domain = "domain" + std::to_string(n % 8);
        it.machine = "gpu-large";
        it.model = "model-" + std::to_string(n % 5);
        it.version = "v12";
        it.incarnation = 1760000000;
        it.sequence = 1;
        it.load.capacity = 64;
        return it;
    }

    void benchTableMemory(const BenchContext& context, size_t upstreams)
    {
        const int64_t before = allocatedBytes();
        UpstreamTable table;
        for (size_t n = 0; n < upstreams; ++n)
            upsertAnnouncement(table, 1_s, announcementOf(n));
        consumeJournal(table);
        context.report("memory.upstream_table_bytes" + suffixOf(upstreams), static_cast<double>(allocatedBytes() - before), "B", std::to_string(upstreams) + " upstreams, journal taken");
    }

    void benchRouterMemory(const BenchContext& context, size_t upstreams)
    {
        const int64_t before = allocatedBytes();
        Router router({ .self = idOfName<NodeId>("node"), .domain = "domain0", .seed = context.seed });
        const int64_t empty = allocatedBytes();
        for (size_t n = 0; n < upstreams; ++n) {
            const auto announced = announcementOf(n);
            const auto id = idOfName<UpstreamId>(announced.name);
            updateTarget(router, { .id = id, .pool = announced.model, .version = announced.version, .domain = announced.domain });
            updateLoad(router, id, announced.load, 0_ms);
        }
        for (size_t n = 0; n < 5; ++n)
            choose(router, { .pool = "model-" + std::to_string(n), .promptTokens = 100 }, 1_s);
        context.report("memory.router_bytes" + suffixOf(upstreams), static_cast<double>(allocatedBytes() - empty), "B", std::to_string(upstreams) + " targets without the prefix index, which takes " + std::to_string(empty - before) + " B");
    }

    void benchPrefixMemory(const BenchContext& context, uint32_t capacity)
    {
        const int64_t before = allocatedBytes();
        const PrefixIndex index(capacity);
        context.report("memory.prefix_index_bytes" + suffixOf(capacity), static_cast<double>(allocatedBytes() - before), "B", std::to_string(index.entries.size()) + " blocks");
    }

    void benchMemberMemory(const BenchContext& context, size_t members)
    {
        GossipNetwork network(context.seed);
        for (size_t n = 0; n < members; ++n)
            network.add("node" + std::to_string(n), "domain" + std::to_string(n % 8));
        std::vector<MemberRecord> records;
        for (const auto& host : network.hosts)
            records.push_back(ownRecord(*host.node));
        MembershipOutputs ignored;
        const int64_t before = allocatedBytes();
        learnMembers(network.node(0), network.now, records, ignored);
        ignored = {};
        context.report("memory.membership_bytes" + suffixOf(members), static_cast<double>(allocatedBytes() - before), "B", std::to_string(members) + " members, with the queue of their records");
    }

    double cpuSeconds()
    {
        return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
    }

    /// Measures CPU time, traffic and memory of nodes without calls.
    void benchIdle(const BenchContext& context, size_t nodes)
    {
        const int64_t before = allocatedBytes();
        const size_t upstreams = nodes * 870 / 400;
        NodeFleet fleet({ .nodes = nodes, .domains = nodes >= 100 ? 8U : 3U, .upstreams = upstreams, .seed = context.seed });
        fleet.bootstrapGroups();
        if (!fleet.applyRules(0, 0, fleetRules(4, 20, 0)))
            throw std::runtime_error("the rules were refused");
        const TimeMs duration = context.quick ? 1_s : 20_s;
        fleet.run(context.quick ? 1_s : 10_s);
        fleet.resetUsage();
        const double start = cpuSeconds();
        fleet.run(duration);
        const double whole = cpuSeconds() - start;
        NodeUsage sum;
        double busiest = 0;
        uint64_t maxDatagramBytes = 0;
        for (const auto& it : fleet.usage) {
            sum.stepSeconds += it.stepSeconds;
            sum.tickSeconds += it.tickSeconds;
            sum.ticks += it.ticks;
            sum.datagramBytes += it.datagramBytes;
            busiest = std::max(busiest, it.stepSeconds);
            sum.longestStepSeconds = std::max(sum.longestStepSeconds, it.longestStepSeconds);
            maxDatagramBytes = std::max(maxDatagramBytes, it.datagramBytes);
        }
        const double nodeSeconds = duration.seconds() * static_cast<double>(nodes);
        char size[240];
        std::snprintf(size, sizeof(size), "%zu nodes, %zu upstreams, %lld s of virtual time, no calls; longest step %.1f ms, harness and nodes %.1f s", nodes, upstreams,
            static_cast<long long>(duration.value / 1000), sum.longestStepSeconds * 1000, whole);
        context.report("node.tick_us" + suffixOf(nodes), sum.tickSeconds * 1e6 / static_cast<double>(std::max<uint64_t>(sum.ticks, 1)), "us", size);
        context.report("node.idle_cpu_percent" + suffixOf(nodes), sum.stepSeconds / nodeSeconds * 100, "%", size);
        context.report("node.idle_cpu_percent_max" + suffixOf(nodes), busiest / duration.seconds() * 100, "%", size);
        context.report("node.idle_datagram_bytes_per_s" + suffixOf(nodes), static_cast<double>(sum.datagramBytes) / nodeSeconds, "B/s", size);
        context.report("node.idle_bytes" + suffixOf(nodes), static_cast<double>(allocatedBytes() - before) / static_cast<double>(nodes), "B", std::string(size) + "; heap per node");
    }

    void runCalls(NodeFleet& fleet, TimeMs duration, size_t perSecond)
    {
        // Spreads the calls of each node evenly over the second and uses the five models in turn.
        const TimeMs gap { static_cast<int64_t>(1000 / perSecond) };
        uint64_t round = 0;
        for (const TimeMs end = fleet.now + duration; fleet.now < end; fleet.run(gap), ++round) {
            for (size_t node = 0; node < fleet.nodes.size(); ++node)
                fleet.call(node, "model-" + std::to_string((node + round) % 5));
        }
    }

    /// Measures the traffic of the decision leader while a move is open and each node gets its share of the target load.
    void benchLeader(const BenchContext& context, size_t nodes)
    {
        constexpr size_t callsPerNode = 20;
        NodeFleet fleet({ .nodes = nodes, .domains = nodes >= 100 ? 8U : 3U, .upstreams = std::max<size_t>(20, nodes * 870 / 400), .seed = context.seed });
        fleet.bootstrapGroups();
        fleet.run(3_s);
        const std::string move = "move up model=model-0 from=v1 to=v2 by=2025-10-09T12:00:00Z max-share=5% # Ayesha: the new version\n";
        if (!fleet.applyRules(0, 0, fleetRules(4, 20, 0) + move))
            throw std::runtime_error("the rules were refused");
        runCalls(fleet, 3_s, callsPerNode);
        fleet.resetUsage();
        const uint64_t answered = fleet.answered;
        const uint64_t refused = fleet.refused;
        const TimeMs duration = context.quick ? 2_s : 10_s;
        runCalls(fleet, duration, callsPerNode);
        const auto& usage = fleet.usage[fleet.leader()];
        const auto rate = [&](const auto& bytes, FrameKind kind) { return static_cast<double>(bytes[static_cast<size_t>(kind)]) / duration.seconds(); };
        const double evidence = rate(usage.frameBytesIn, FrameKind::Evidence);
        const double requests = rate(usage.frameBytesIn, FrameKind::LeaseRequests);
        const double grants = rate(usage.frameBytesOut, FrameKind::LeaseGrants);
        uint64_t all = usage.datagramBytes;
        for (const uint64_t bytes : usage.frameBytesIn)
            all += bytes;
        for (const uint64_t bytes : usage.frameBytesOut)
            all += bytes;
        char size[300];
        std::snprintf(size, sizeof(size), "%zu nodes, 1 open move, 4 limits, %zu calls/s per node (%llu answered, %llu refused, %zu open at the end); evidence %.0f, lease requests %.0f, grants %.0f B/s", nodes, callsPerNode,
            static_cast<unsigned long long>(fleet.answered - answered), static_cast<unsigned long long>(fleet.refused - refused), fleet.openCalls(), evidence, requests, grants);
        context.report("leader.bytes_per_s" + suffixOf(nodes), evidence + requests + grants, "B/s", size);
        context.report("leader.all_bytes_per_s" + suffixOf(nodes), static_cast<double>(all) / duration.seconds(), "B/s", std::string(size) + "; with gossip, consensus and views");
        context.report("leader.cpu_percent" + suffixOf(nodes), usage.stepSeconds / duration.seconds() * 100, "%", size);
        double others = 0;
        for (size_t n = 0; n < nodes; ++n)
            others += n == fleet.leader() ? 0 : fleet.usage[n].stepSeconds;
        context.report("node.cpu_percent" + suffixOf(nodes), others / duration.seconds() / static_cast<double>(nodes - 1) * 100, "%", std::string(size) + "; mean of the other nodes, step only");
    }

    const BenchRegistration registration("scale", [](const BenchContext& context) {
        for (const size_t n : { 100, 400, 870, 2000 })
            benchTableMemory(context, n);
        for (const size_t n : { 100, 400, 870, 2000 })
            benchRouterMemory(context, n);
        for (const uint32_t n : { 1U << 14, 1U << 16, 1U << 18 })
            benchPrefixMemory(context, n);
        for (const size_t n : { 8, 100, 400, 800 })
            benchMemberMemory(context, n);
        for (const size_t n : { 8, 100, 400 }) {
            if (!context.quick || n <= 100)
                benchIdle(context, n);
        }
    });

    const BenchRegistration leaderRegistration("leader", [](const BenchContext& context) {
        for (const size_t n : { 8, 32, 100, 200, 400 }) {
            if (!context.quick || n <= 8)
                benchLeader(context, n);
        }
    });

}

}
