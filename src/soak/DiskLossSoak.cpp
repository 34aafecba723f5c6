#include "node/Groups.h"
#include "soak/NodeFleet.h"
#include "soak/Soak.h"

#include <algorithm>

namespace siskinshunt {

namespace {

    struct DiskLossShape {
        int machines = 0; ///< With a disk; the last ones are not started before they replace another one.
        int running = 0;
        int voters = 0;
        size_t lossesAtOnce = 0;
    };

    // Voters lose their disks or their machines for good, one loss after the other, at the pace that deployments have to bear: the next loss
    // comes as soon as the last machine has been back for `catchUp`. In between, leaders restart, machines stand still or are cut off, all
    // processes end at once, and disks are slow or full. Nothing that was acknowledged may be lost, and the groups have to be whole at the end.
    class DiskLossSchedule {
    public:
        explicit DiskLossSchedule(uint64_t seed)
            : m_random(seed)
            , m_shape(drawShape(m_random))
            , m_fleet({ .nodes = m_shape.machines, .voters = m_shape.voters, .disks = m_shape.machines, .seed = seed + 1, .ledgerGroups = m_random.chance(0.3) ? 1U : 0U, .targetVoters = static_cast<uint32_t>(m_shape.voters), .missingVoterTimeout = 1_s, .voterIdsNameNodes = true })
        {
        }

        SoakResult run();

    private:
        static constexpr TimeMs catchUp { 4000 };

        static DiskLossShape drawShape(Random&);
        void lose(bool forGood);
        void startLost();
        void start(size_t machine);
        void disturb();
        void applyRules();
        size_t drawVoter();
        void checkOutcome();
        void recordViolation(std::string);

        Random m_random;
        DiskLossShape m_shape;
        NodeFleet m_fleet;
        SoakResult m_result;
        std::vector<size_t> m_lost; ///< Down, to be started.
        size_t m_nextMachine = 0; ///< Next machine that replaces another one.
        uint64_t m_applies = 0;
        std::vector<uint64_t> m_calls;
    };

}

DiskLossShape DiskLossSchedule::drawShape(Random& random)
{
    static constexpr DiskLossShape shapes[] = { { 5, 3, 3, 1 }, { 9, 5, 5, 1 }, { 13, 9, 5, 2 } };
    return shapes[random.below(std::size(shapes))];
}

void DiskLossSchedule::recordViolation(std::string text)
{
    if (m_result.violation.empty())
        m_result.violation = std::move(text);
}

// A running voter of the decision group, in half of the cases its leader.
size_t DiskLossSchedule::drawVoter()
{
    const size_t leader = m_fleet.decisionLeader();
    if (leader < m_fleet.nodes.size() && m_random.chance(0.5))
        return leader;
    std::vector<size_t> running;
    std::vector<size_t> voters;
    for (size_t n = 0; n < m_fleet.nodes.size(); ++n) {
        if (!m_fleet.nodes[n].node)
            continue;
        running.push_back(n);
        const auto members = leader < m_fleet.nodes.size() ? status(*m_fleet.nodes[leader].node->groups.at(decisionGroup).replica).voters : std::vector<VoterId> {};
        if (std::find(members.begin(), members.end(), m_fleet.nodes[n].voter) != members.end())
            voters.push_back(n);
    }
    const auto& from = voters.empty() ? running : voters;
    return from[m_random.below(from.size())];
}

void DiskLossSchedule::lose(bool forGood)
{
    const size_t n = drawVoter();
    forGood = forGood && m_nextMachine < m_fleet.nodes.size();
    ++m_result.faults[forGood ? "machine gone" : "disk lost"];
    m_fleet.loseDisk(n);
    if (forGood)
        m_fleet.loseDisk(m_nextMachine);
    m_lost.push_back(forGood ? m_nextMachine++ : n);
}

// The platform writes the settings at each start; their seeds are machines that it lists then.
void DiskLossSchedule::start(size_t n)
{
    std::vector<Endpoint> listed;
    for (const auto& it : m_fleet.nodes) {
        if (it.node)
            listed.push_back(it.settings.peer);
    }
    for (size_t kept = 3; listed.size() > kept;)
        listed.erase(listed.begin() + static_cast<std::ptrdiff_t>(m_random.below(listed.size())));
    if (!listed.empty())
        m_fleet.nodes[n].settings.seeds = listed;
    m_fleet.start(n);
}

void DiskLossSchedule::startLost()
{
    for (const size_t n : std::exchange(m_lost, {})) {
        m_fleet.nodes[n].diskDelay = m_random.chance(0.2) ? 60_ms : 2_ms;
        start(n);
    }
}

void DiskLossSchedule::applyRules()
{
    const size_t n = drawVoter();
    const auto revision = m_fleet.nodes[n].revision;
    const auto name = "omar" + std::to_string(++m_applies);
    m_calls.push_back(m_fleet.apply(n, name, revision, NodeFleet::rulesText(name), "omar"));
}

// None of these takes a disk or keeps a machine from catching up for long.
void DiskLossSchedule::disturb()
{
    const size_t n = drawVoter();
    auto& node = m_fleet.nodes[n];
    switch (m_random.below(6)) {
    case 0:
        ++m_result.faults["restart"];
        m_fleet.kill(n, m_random.chance(0.5));
        m_fleet.runFor(TimeMs { m_random.between(100, 800) });
        return start(n);
    case 1:
        ++m_result.faults["freeze"];
        m_fleet.freeze(n);
        m_fleet.runFor(TimeMs { m_random.between(200, 2000) });
        return m_fleet.thaw(n);
    case 2:
        ++m_result.faults["cut"];
        m_fleet.isolate(n, true);
        m_fleet.runFor(TimeMs { m_random.between(200, 2000) });
        return m_fleet.isolate(n, false);
    case 3:
        ++m_result.faults["disk full"];
        node.disk->setFreeBytes(0);
        m_fleet.runFor(TimeMs { m_random.between(200, 1000) });
        return node.disk->setFreeBytes(SIZE_MAX);
    case 4:
        ++m_result.faults["all restart"];
        for (size_t it = 0; it < m_fleet.nodes.size(); ++it) {
            if (!m_fleet.nodes[it].node)
                continue;
            m_fleet.kill(it, m_random.chance(0.5));
            start(it);
        }
        return;
    default:
        m_fleet.loss = m_random.chance(0.5) ? 0 : 0.1;
    }
}

void DiskLossSchedule::checkOutcome()
{
    for (const auto& text : m_fleet.violations)
        recordViolation(text);
    if (!m_fleet.runUntil([&] { return m_fleet.hasAllVoters(); }, 20_s))
        recordViolation("a group does not have the configured number of voters, or has one without a machine");
    uint64_t acknowledged = 1;
    for (const uint64_t call : m_calls)
        acknowledged += m_fleet.caller(call).done && m_fleet.caller(call).status == 200;
    applyRules();
    if (!m_fleet.runUntil([&] { return m_fleet.caller(m_calls.back()).done; }, 10_s) || m_fleet.caller(m_calls.back()).status != 200)
        recordViolation("no change is acknowledged after the losses");
    m_fleet.runFor(5_s);
    uint64_t highest = 0;
    for (const auto& node : m_fleet.nodes)
        highest = std::max(highest, node.node ? node.node->view.rules.revision : 0);
    if (highest <= acknowledged)
        recordViolation("revision " + std::to_string(highest) + " is in force, after " + std::to_string(acknowledged) + " were acknowledged and one more");
    if (!m_fleet.agreeOnRevision(highest))
        recordViolation("the nodes do not agree on revision " + std::to_string(highest));
}

SoakResult DiskLossSchedule::run()
{
    if (!m_fleet.startCluster()) {
        recordViolation("the fleet did not start");
        return m_result;
    }
    m_nextMachine = static_cast<size_t>(m_shape.running);
    for (size_t n = m_nextMachine; n < m_fleet.nodes.size(); ++n)
        m_fleet.kill(n, false);
    m_fleet.runFor(8_s);
    const auto losses = m_random.between(4, 10);
    for (int64_t n = 0; n < losses; ++n) {
        applyRules();
        m_fleet.runFor(TimeMs { m_random.between(0, 60) });
        for (size_t lost = 1 + m_random.below(m_shape.lossesAtOnce); lost; --lost)
            lose(m_random.chance(0.3));
        m_fleet.runFor(TimeMs { m_random.between(500, 3000) });
        startLost();
        const TimeMs catchUpEnd = m_fleet.now + catchUp;
        m_fleet.runFor(TimeMs { m_random.between(0, 1000) });
        if (m_random.chance(0.5)) {
            disturb();
            // A machine that was disturbed counts as lost until it has been back for as long.
            m_fleet.runFor(catchUp);
        } else
            m_fleet.runFor(catchUpEnd - m_fleet.now);
    }
    m_fleet.loss = 0;
    checkOutcome();
    return m_result;
}

static SoakResult runDiskLossSchedule(uint64_t seed)
{
    return DiskLossSchedule(seed).run();
}

static const SoakRegistration s_diskLossSoak("disks", runDiskLossSchedule);

}
