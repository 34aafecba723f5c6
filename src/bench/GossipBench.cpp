#include "base/Histogram.h"
#include "bench/Bench.h"
#include "membership/GossipNetwork.h"

#include <algorithm>
#include <ctime>
#include <string>

namespace siskinshunt {

namespace {

    /// The number of upstreams is proportional to that of nodes, 870 at the target size of 400 nodes. Each announces itself
    /// to two nodes of its failure domain.
    struct FakeUpstream {
        Announcement announced;
        std::array<size_t, 2> announceTargets {};
        TimeMs next;
    };

    size_t domainsOf(size_t nodes) { return std::min<size_t>(8, std::max<size_t>(3, nodes / 12)); }

    class GossipFleet {
    public:
        GossipFleet(size_t nodes, uint64_t seed)
            : network(seed, { .loss = 0.005, .duplicate = 0, .minDelay = 1_ms, .maxDelay = 5_ms })
            , m_random(seed + 1)
        {
            const size_t domains = domainsOf(nodes);
            network.addConverged(nodes, domains);
            for (size_t n = 0; n < std::max<size_t>(nodes * 870 / 400, 1); ++n)
                addUpstream(n, domains, nodes);
            for (auto& host : network.hosts)
                learnUpstreams(*host.node);
        }

        void run(TimeMs duration)
        {
            network.run(duration, [this] { announceDue(); });
        }

        struct Spread {
            TimeMs notices; ///< Time until 99% of all (node, notice) pairs are known.
            TimeMs nodes; ///< Time until 99% of the nodes know every notice.
        };

        size_t knownNotices(const Membership& node, const std::vector<size_t>& indices) const
        {
            return static_cast<size_t>(std::count_if(indices.begin(), indices.end(), [&](size_t n) {
                const Upstream* it = findUpstream(node.upstreams, idOfName<UpstreamId>(upstreams[n].announced.name));
                return it && it->reclaimAt;
            }));
        }

        /// Announces the reclaim of these upstreams at the same time and waits up to 30 s for it to spread.
        Spread spreadReclaim(const std::vector<size_t>& indices)
        {
            for (const size_t n : indices) {
                upstreams[n].announced.reclaimIn = 30_s;
                upstreams[n].next = network.now;
            }
            Spread spread { 0_s, 0_s };
            const TimeMs begin = network.now;
            const size_t nodes = network.hosts.size();
            while (spread.nodes == 0_s && network.now - begin < 30_s) {
                run(20_ms);
                size_t pairs = 0;
                size_t complete = 0;
                for (const auto& host : network.hosts) {
                    const size_t known = knownNotices(*host.node, indices);
                    pairs += known;
                    complete += known == indices.size() ? 1 : 0;
                }
                if (spread.notices == 0_s && pairs * 100 >= nodes * indices.size() * 99)
                    spread.notices = network.now - begin;
                if (complete * 100 >= nodes * 99)
                    spread.nodes = network.now - begin;
            }
            return spread;
        }

        /// Partitions off the first half of the failure domains for a minute, long enough for both sides to remove every
        /// record of the other. Returns the time from the end of the partition until all nodes know all members and
        /// upstreams again, at most 120 s.
        TimeMs healHalf(size_t domains)
        {
            for (size_t n = 0; n < network.hosts.size(); ++n)
                network.hosts[n].partition = n % domains < domains / 2 ? 1 : 0;
            run(60_s);
            network.clearTraffic();
            for (auto& host : network.hosts)
                host.partition = 0;
            const TimeMs begin = network.now;
            const auto complete = [&](const auto& host) {
                return liveMembers(*host.node).size() == network.hosts.size() && host.node->upstreams.entries.size() == upstreams.size();
            };
            while (network.now - begin < 120_s && !std::all_of(network.hosts.begin(), network.hosts.end(), complete))
                run(500_ms);
            const TimeMs took = network.now - begin;
            run(1_s);
            return took;
        }

        /// Indices of the domain's upstreams that are not leaving.
        std::vector<size_t> domainUpstreams(const std::string& domain) const
        {
            std::vector<size_t> indices;
            for (size_t n = 0; n < upstreams.size(); ++n) {
                if (upstreams[n].announced.domain == domain && !upstreams[n].announced.reclaimIn)
                    indices.push_back(n);
            }
            return indices;
        }

        /// Mean age of the loads that nodes know, in announcements, of which each upstream sends one per second.
        double loadAge(bool ownDomain) const
        {
            uint64_t behind = 0;
            uint64_t count = 0;
            for (const auto& host : network.hosts) {
                for (const auto& it : upstreams) {
                    const Upstream* known = findUpstream(host.node->upstreams, idOfName<UpstreamId>(it.announced.name));
                    if (!known || (it.announced.domain == host.options.identity.domain) != ownDomain)
                        continue;
                    behind += it.announced.sequence - known->announced.sequence;
                    ++count;
                }
            }
            return count ? static_cast<double>(behind) / static_cast<double>(count) : 0;
        }

        GossipNetwork network;
        std::vector<FakeUpstream> upstreams;

    private:
        void addUpstream(size_t n, size_t domains, size_t nodes)
        {
            FakeUpstream upstream;
            const size_t domain = n % domains;
            auto& it = upstream.announced;
            it.name = "runner-" + std::to_string(n);
            it.address = "10.9." + std::to_string(n / 256) + "." + std::to_string(n % 256) + ":8000";
            it.domain = "domain" + std::to_string(domain);
            it.machine = "gpu-large";
            it.model = "model-" + std::to_string(n % 5);
            it.version = "v12";
            it.incarnation = static_cast<uint64_t>(network.utcBase.value) + n;
            it.sequence = 1;
            it.load.capacity = 64;
            const size_t perDomain = (nodes - domain + domains - 1) / domains;
            upstream.announceTargets = { domain + domains * (n / domains % perDomain), domain + domains * ((n / domains + 1) % perDomain) };
            upstream.next = network.now + TimeMs { m_random.between(20, 1000) };
            upstreams.push_back(upstream);
        }

        void learnUpstreams(Membership& node)
        {
            for (const auto& it : upstreams) {
                for (const size_t target : it.announceTargets) {
                    const NodeId id = network.hosts[target].node->self;
                    if (id == node.self)
                        upsertAnnouncement(node.upstreams, network.now, it.announced);
                    else
                        upsertRecord(node.upstreams, network.now, { it.announced, 1, {}, { { id, 1, true } } });
                }
            }
            node.upstreams.journal.clear();
        }

        void announceDue()
        {
            for (auto& it : upstreams) {
                if (network.now < it.next)
                    continue;
                it.next += 1_s;
                ++it.announced.sequence;
                auto& load = it.announced.load;
                load.running = static_cast<uint32_t>(std::clamp<int64_t>(load.running + m_random.between(-5, 5), 0, 64));
                load.waiting = static_cast<uint32_t>(m_random.below(4));
                load.cachedTokens = 100000 + m_random.below(10000);
                load.tokensPerSecond = 40 + m_random.uniform();
                load.prefillTokensPerSecond = 5000 + m_random.uniform();
                for (const size_t target : it.announceTargets) {
                    announce(network.node(target), network.now, it.announced, network.outputs);
                    network.flush(target);
                }
            }
        }

        Random m_random;
    };

    double cpuSeconds()
    {
        return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
    }

    void benchGossip(const BenchContext& context, size_t nodes)
    {
        const std::string suffix = std::to_string(nodes);
        const std::string size = suffix + (context.quick ? " nodes, 1 s after 0.5 s, not settled (quick)" : " nodes, 60 s after 15 s");
        GossipFleet fleet(nodes, context.seed);
        fleet.run(context.quick ? 500_ms : 15_s);
        fleet.network.clearTraffic();
        const TimeMs duration = context.quick ? 1_s : 60_s;
        const double before = cpuSeconds();
        fleet.run(duration);
        const double used = cpuSeconds() - before;
        uint64_t bytes = 0;
        uint64_t worst = 0;
        for (const auto& host : fleet.network.hosts) {
            bytes += host.totalBytes;
            worst = std::max(worst, host.peakBytesPerSecond);
        }
        const double nodeSeconds = duration.seconds() * static_cast<double>(nodes);
        context.report("gossip.bytes_per_s." + suffix, static_cast<double>(bytes) / nodeSeconds, "B/s", size);
        context.report("gossip.bytes_per_s_max." + suffix, static_cast<double>(worst), "B/s", size);
        context.report("gossip.cpu_percent." + suffix, used / nodeSeconds * 100, "%", size);
        context.report("gossip.load_age_own_domain_s." + suffix, fleet.loadAge(true), "s", size);
        context.report("gossip.load_age_other_domains_s." + suffix, fleet.loadAge(false), "s", size);
        Histogram spread;
        const size_t samples = std::min<size_t>(context.quick ? 1 : 40, fleet.upstreams.size() / 2);
        for (size_t n = 0; n < samples; ++n)
            spread.record(static_cast<uint64_t>(fleet.spreadReclaim({ n * 2 }).nodes.value));
        context.report("gossip.reclaim_spread_p99_s." + size, static_cast<double>(spread.quantile(0.99)) / 1000, "s", size);
        fleet.network.clearTraffic();
        const auto wave = fleet.spreadReclaim(fleet.domainUpstreams("domain1"));
        fleet.run(1_s);
        for (const auto& host : fleet.network.hosts)
            worst = std::max(worst, host.peakBytesPerSecond);
        context.report("gossip.wave_spread_p99_s." + size, wave.notices.seconds(), "s", size);
        context.report("gossip.wave_known_whole_s." + suffix, wave.nodes.seconds(), "s", size);
        context.report("gossip.wave_bytes_per_s_max." + suffix, static_cast<double>(worst), "B/s", size);
        if (context.quick)
            return;
        const TimeMs healed = fleet.healHalf(domainsOf(nodes));
        worst = 0;
        for (const auto& host : fleet.network.hosts)
            worst = std::max(worst, host.peakBytesPerSecond);
        context.report("gossip.heal_half_s." + suffix, healed.seconds(), "s", size);
        context.report("gossip.heal_half_bytes_per_s_max." + suffix, static_cast<double>(worst), "B/s", size);
    }

    const BenchRegistration registration("gossip", [](const BenchContext& context) {
        for (const size_t nodes : { 8, 32, 128, 400 })
            benchGossip(context, nodes);
    });

}

}
