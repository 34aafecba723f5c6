#include "membership/GossipNetwork.h"
#include "soak/Soak.h"

namespace siskinshunt {

namespace {

    class MembershipSchedule {
    public:
        explicit MembershipSchedule(uint64_t seed)
            : m_random(seed)
            , m_network(seed, { .loss = m_random.uniform() * 0.1, .duplicate = m_random.uniform() * 0.1, .minDelay = 1_ms, .maxDelay = { m_random.between(5, 250) } })
        {
            m_network.addConverged(3 + m_random.below(22), 1 + m_random.below(5));
            m_upstreams.resize(1 + m_random.below(12));
            for (size_t n = 0; n < m_upstreams.size(); ++n)
                startUpstream(n);
        }

        SoakResult run()
        {
            const int64_t steps = m_random.between(5, 25);
            for (int64_t n = 0; n < steps && m_result.violation.empty(); ++n) {
                injectFault();
                advance({ m_random.between(100, 8000) });
                checkRevisions();
            }
            checkConvergence();
            return m_result;
        }

    private:
        struct FakeUpstream {
            Announcement announced;
            bool up = false;
            std::array<size_t, 2> announceTargets {};
            TimeMs next;
        };

        void startUpstream(size_t n)
        {
            auto& it = m_upstreams[n];
            it.announced.name = "runner" + std::to_string(n);
            it.announced.model = "crew";
            it.announced.version = "v" + std::to_string(m_random.below(3));
            it.announced.reclaimIn.reset();
            ++it.announced.incarnation;
            it.announced.sequence = 0;
            it.up = true;
            it.next = m_network.now;
            for (auto& target : it.announceTargets)
                target = m_random.below(m_network.hosts.size());
        }

        /// Sends the announcements that are due. An upstream whose node does not answer switches to another one.
        void announceDue()
        {
            for (auto& it : m_upstreams) {
                if (!it.up || m_network.now < it.next)
                    continue;
                it.next = m_network.now + 1_s;
                ++it.announced.sequence;
                it.announced.load.running = static_cast<uint32_t>(m_random.below(50));
                for (auto& target : it.announceTargets) {
                    const auto& host = m_network.hosts[target];
                    if (!host.node || host.paused) {
                        target = m_random.below(m_network.hosts.size());
                        continue;
                    }
                    announce(m_network.node(target), m_network.now, it.announced, m_network.outputs);
                    m_network.flush(target);
                }
            }
        }

        void advance(TimeMs duration)
        {
            m_network.run(duration, [this] { announceDue(); });
        }

        void changeUpstream()
        {
            const size_t n = m_random.below(m_upstreams.size());
            auto& it = m_upstreams[n];
            if (!it.up) {
                ++m_result.faults["upstream_restart"];
                startUpstream(n);
            } else if (m_random.chance(0.5)) {
                ++m_result.faults["upstream_dies"];
                it.up = false;
            } else {
                ++m_result.faults["reclaim_notice"];
                it.announced.reclaimIn = 600_s;
            }
        }

        /// Checks that the node gives new work to exactly the upstreams that announce themselves and are not leaving.
        void checkUpstreams(size_t n)
        {
            const auto& node = m_network.node(n);
            size_t up = 0;
            for (const auto& it : m_upstreams) {
                const Upstream* seen = findUpstream(node.upstreams, idOfName<UpstreamId>(it.announced.name));
                const bool works = seen && acceptsNewWork(*seen, m_network.now, 3_s);
                const bool current = seen && seen->announced.incarnation == it.announced.incarnation && seen->announced.version == it.announced.version;
                up += it.up ? 1 : 0;
                if (works != (it.up && !it.announced.reclaimIn) || (it.up && !current))
                    m_result.violation = it.announced.name + " is seen wrongly at " + m_network.hosts[n].options.identity.name;
            }
            if (node.upstreams.entries.size() != up)
                m_result.violation = "records of dead upstreams stay at " + m_network.hosts[n].options.identity.name;
        }

        void injectFault()
        {
            const size_t n = m_random.below(m_network.hosts.size());
            auto& host = m_network.hosts[n];
            switch (m_random.below(8)) {
            case 0:
                ++m_result.faults[host.node ? "crash" : "restart"];
                host.node ? m_network.crash(n) : m_network.start(n);
                break;
            case 1:
                ++m_result.faults["pause"];
                host.paused = !host.paused;
                break;
            case 2:
                ++m_result.faults["partition"];
                for (auto& it : m_network.hosts)
                    it.partition = static_cast<int>(m_random.below(2));
                break;
            case 3:
                ++m_result.faults["heal"];
                for (auto& it : m_network.hosts)
                    it.partition = 0;
                break;
            case 4:
                ++m_result.faults["restart_at_once"];
                m_network.start(n);
                break;
            case 5:
            case 6:
                changeUpstream();
                break;
            default:
                raiseRevision(host);
            }
        }

        void raiseRevision(GossipNetwork::Host& host)
        {
            ++m_result.faults["revision"];
            if (host.node && !host.paused)
                setOwnStatus(*host.node, m_network.now, { .rulesRevision = host.node->own.rulesRevision + m_random.below(3), .directive = host.node->own.directive + 1 });
        }

        /// Checks that the rules revision of a member, as seen by another one, never decreases while both processes run.
        void checkRevisions()
        {
            for (size_t n = 0; n < m_network.hosts.size(); ++n) {
                const auto& host = m_network.hosts[n];
                if (!host.node)
                    continue;
                for (const auto& [id, member] : host.node->members) {
                    const auto key = std::tuple(n, host.node->nextSequence >> 40, id, processOf(member.status.incarnation), host.options.startedAtUtc);
                    auto& seen = m_seen[key];
                    if (member.status.rulesRevision < seen)
                        m_result.violation = "rules revision of a member went down at " + host.options.identity.name;
                    seen = member.status.rulesRevision;
                }
            }
        }

        /// Ends all faults and checks that the live nodes then agree, that none of them is considered dead and that the
        /// status of each node is current on all others.
        void checkConvergence()
        {
            m_network.link = { .loss = 0, .duplicate = 0, .minDelay = 1_ms, .maxDelay = 5_ms };
            std::vector<size_t> live;
            for (size_t n = 0; n < m_network.hosts.size(); ++n) {
                m_network.hosts[n].partition = 0;
                m_network.hosts[n].paused = false;
                if (m_network.hosts[n].node)
                    live.push_back(n);
            }
            m_network.clearTraffic();
            advance(90_s);
            checkRevisions();
            if (m_result.violation.empty())
                m_result.violation = m_network.describeDivergence(live);
            for (const size_t n : live) {
                if (m_result.violation.empty())
                    checkUpstreams(n);
                for (const size_t k : live) {
                    const Member* seen = findMember(m_network.node(n), m_network.node(k).self);
                    if (n != k && m_result.violation.empty() && (!seen || seen->status != m_network.node(k).own))
                        m_result.violation = "status of " + m_network.hosts[k].options.identity.name + " is outdated at " + m_network.hosts[n].options.identity.name;
                }
                if (m_network.hosts[n].peakBytesPerSecond > 18000 && m_result.violation.empty())
                    m_result.violation = std::to_string(m_network.hosts[n].peakBytesPerSecond) + " bytes in one second";
            }
        }

        Random m_random;
        GossipNetwork m_network;
        SoakResult m_result;
        std::vector<FakeUpstream> m_upstreams;
        std::map<std::tuple<size_t, uint64_t, NodeId, uint64_t, TimeMs>, uint64_t> m_seen;
    };

    const SoakRegistration registration("membership", [](uint64_t seed) { return MembershipSchedule(seed).run(); });

}

}
