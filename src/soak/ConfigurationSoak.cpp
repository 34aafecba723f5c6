#include "api/AnnouncementJson.h"
#include "node/ForwardFlow.h"
#include "soak/FaultSchedule.h"

#include <algorithm>

namespace siskinshunt {

// Large configurations in series on slow links, and upstreams that leave meanwhile, while voters and entry nodes fail. Checks what is in
// force on nodes that are in touch, and what the frames on their way take.

static constexpr TimeMs inForceTime { 2000 };
static constexpr TimeMs drainTime { 2000 };
static constexpr TimeMs orderTimeout { 1500 };
static constexpr size_t maxBytesToSend = 64 << 20;

namespace {

    // A change or notice that its sender repeats, at any voter, until it is acknowledged.
    struct Order {
        uint64_t call = 0; ///< 0 while there is none.
        size_t voter = 0;
    };

    class ConfigurationSchedule : FaultSchedule {
    public:
        explicit ConfigurationSchedule(uint64_t seed);
        SoakResult run();

    private:
        static NodeFleetOptions makeOptions(Random&, uint64_t seed);
        std::string rules() const;
        void sendChange();
        void followChange();
        void sendNotice();
        void followNotice();
        void check();

        int m_routes = 20;
        uint64_t m_number = 0;
        Order m_change;
        std::map<uint64_t, TimeMs> m_acknowledged; ///< By number of the configuration.
        size_t m_left = 0; ///< Upstreams that have left or are leaving: the first ones.
        Order m_notice;
        std::map<std::string, TimeMs> m_leftAt; ///< By upstream whose notice was acknowledged by a voter in touch.
    };

}

NodeFleetOptions ConfigurationSchedule::makeOptions(Random& random, uint64_t seed)
{
    static constexpr std::array<std::pair<int, int>, 3> sizes { { { 8, 5 }, { 20, 5 }, { 40, 9 } } };
    const auto [entries, voters] = sizes[random.below(sizes.size())];
    // Links a third as fast as the slowest ones of any deployment, and as many fewer routes, which saves parsing.
    return { .nodes = entries + voters, .voters = std::min(voters, 7), .disks = voters, .seed = seed, .ledgerGroups = 0, .forwards = true, .entryBytesPerMs = 400, .diskNodeBytesPerMs = 40000, .announceNodes = static_cast<size_t>(voters), .dialect = makeFleetDialect() };
}

ConfigurationSchedule::ConfigurationSchedule(uint64_t seed)
    : FaultSchedule(seed, makeOptions)
{
    for (int n = 0; n < 12; ++n)
        fleet.addUpstream("desk-" + std::to_string(n), UpstreamKind::Service, "desk", n % 2 ? "lhr-depot" : "lhr-gulberg");
}

std::string ConfigurationSchedule::rules() const
{
    const std::string author = " # Asma: configuration " + std::to_string(m_number) + "\n";
    std::string out = "backend desk" + author;
    for (int n = 0; n < m_routes; ++n) {
        const std::string name = std::to_string(combineHash(static_cast<uint64_t>(n), 1));
        out.append("forward r").append(name).append(" host=h prefix=/").append(name);
        out.append("/ kind=repeatable timeout=1s target=150ms attempts=2 anonymous=yes to=desk:1").append(author);
    }
    return out;
}

void ConfigurationSchedule::sendChange()
{
    m_change.voter = random.below(voters);
    m_change.call = fleet.putConfiguration(m_change.voter, m_number, rules());
}

void ConfigurationSchedule::followChange()
{
    if (!m_change.call)
        return;
    const auto& caller = fleet.caller(m_change.call);
    if (caller.done && caller.status == 200) {
        ++result.faults["change acknowledged"];
        m_acknowledged[m_number] = caller.answeredAt;
        m_change.call = 0;
    } else if (caller.done || caller.lost || fleet.now - caller.postedAt > orderTimeout) {
        sendChange();
    }
}

void ConfigurationSchedule::sendNotice()
{
    auto& announced = fleet.upstream("desk-" + std::to_string(m_left - 1)).announced;
    announced.leaving = true;
    ++announced.sequence;
    m_notice.voter = random.below(voters);
    m_notice.call = fleet.post(m_notice.voter, { "POST", "/", {}, toJson(announced) }, ListenerKind::Control);
}

void ConfigurationSchedule::followNotice()
{
    if (!m_notice.call)
        return;
    const auto& caller = fleet.caller(m_notice.call);
    if (caller.done && caller.status == 200) {
        ++result.faults["leaving acknowledged"];
        if (isInTouch(m_notice.voter))
            m_leftAt["desk-" + std::to_string(m_left - 1)] = caller.answeredAt;
        m_notice.call = 0;
    } else if (caller.done || caller.lost || fleet.now - caller.postedAt > orderTimeout) {
        sendNotice();
    }
}

void ConfigurationSchedule::check()
{
    uint64_t due = 0;
    for (const auto& [number, at] : m_acknowledged) {
        if (fleet.now - at > inForceTime)
            due = number;
    }
    for (size_t n = 0; n < fleet.nodes.size(); ++n) {
        const auto& process = fleet.nodes[n];
        if (process.bytesToSend > maxBytesToSend)
            fail(process.settings.node + " has " + std::to_string(process.bytesToSend) + " bytes on their way");
        if (isVoter(n) || !isInTouch(n))
            continue;
        // The first revision is that of the fleet's own rules.
        if (process.node->view.rules.revision < due + 1)
            fail(process.settings.node + " has revision " + std::to_string(process.node->view.rules.revision) + " and not " + std::to_string(due + 1) + ", acknowledged " + std::to_string((fleet.now - m_acknowledged[due]).value) + " ms before");
        for (const auto& [name, at] : m_leftAt) {
            const ForwardTarget* target = findTarget(process.node->forward.targets, idOfName<UpstreamId>(name));
            if (fleet.now - at > drainTime && target && !target->leaving)
                fail(process.settings.node + " would send to " + name + " " + std::to_string((fleet.now - at).value) + " ms after its notice was acknowledged");
        }
    }
}

SoakResult ConfigurationSchedule::run()
{
    if (!fleet.startCluster()) {
        fail("the fleet did not start");
        return result;
    }
    for (int step = 0; step < 150 && result.violation.empty(); ++step) {
        const bool quiet = step % cycleSteps >= faultSteps;
        if (!quiet && random.chance(0.15))
            injectFault();
        if (!m_change.call && random.chance(0.4)) {
            // Some changes add many routes, most none.
            m_routes += random.chance(0.1) ? 450 : 0;
            ++m_number;
            sendChange();
        }
        if (!m_notice.call && m_left < 10 && random.chance(0.1)) {
            ++m_left;
            sendNotice();
        }
        followChange();
        followNotice();
        fleet.runFor(TimeMs { random.between(50, 250) });
        check();
        if (step % cycleSteps == faultSteps)
            recoverAll();
    }
    for (const auto& text : fleet.violations)
        fail(text);
    return result;
}

static SoakResult runConfigurationSchedule(uint64_t seed)
{
    return ConfigurationSchedule(seed).run();
}

static const SoakRegistration s_configurationSoak("configurations", runConfigurationSchedule);

}
