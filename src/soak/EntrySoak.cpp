#include "api/AnnouncementJson.h"
#include "node/ForwardFlow.h"
#include "node/NodeState.h"
#include "soak/FaultSchedule.h"
#include "soak/Soak.h"

#include <algorithm>
#include <deque>

namespace siskinshunt {

// Upstreams that leave or name limits, and a failure domain that is evacuated, while voters and entry nodes fail. Checks what nodes that are
// in touch send to them.

static constexpr TimeMs drainTime { 2000 };
static constexpr TimeMs limitWindow { 4000 };
static constexpr TimeMs limitBindsAfter { 3000 };
static constexpr TimeMs toldFor { 500 }; ///< A node counts this long after its first answer that names the limit.
static constexpr TimeMs announceInterval { 1200 };
static constexpr TimeMs evacuateTime { 5000 }; ///< From the acknowledgement of an order until it binds.
static constexpr TimeMs orderPatience { 1000 }; ///< After it, operators repeat an order at another voter.
static constexpr TimeMs upstreamPause { 7000 }; ///< From the notice of a leaving upstream until it starts again.

namespace {

    const std::string rateLimitHeader = HeaderNames {}.rateLimit;

    struct SoakUpstream {
        std::string name;
        uint64_t call = 0; ///< Of the leaving notice, until it is acknowledged.
        bool shutsDown = false; ///< Announces its shutdown instead of the leaving state, and nothing after it.
        TimeMs nextNotice; ///< Of an upstream that repeats the leaving state in its announcements.
        size_t voter = 0; ///< To which the notice was sent.
        std::optional<TimeMs> leftAt; ///< Arrival of the acknowledgement of a voter in touch.
        std::optional<TimeMs> restartAt;
        std::optional<double> perSecond;
        TimeMs namedAt;
        std::map<size_t, TimeMs> toldAt; ///< By node.
        std::deque<std::pair<TimeMs, size_t>> window; ///< Arrivals that count, with their node.
    };

    /// Orders for one failure domain, one after the other; each is repeated until it is acknowledged.
    struct SoakEvacuation {
        std::string domain;
        bool start = false; ///< Of the last order.
        uint64_t call = 0; ///< Of the order, until it is acknowledged.
        std::optional<TimeMs> acknowledgedAt; ///< Of the last order.
    };

    class EntrySchedule : FaultSchedule {
    public:
        explicit EntrySchedule(uint64_t seed);
        SoakResult run();

    private:
        static NodeFleetOptions makeOptions(Random&, uint64_t seed);
        void sendRequests();
        void changeUpstream();
        void sendNotice(SoakUpstream&);
        void followNotice(SoakUpstream&);
        std::optional<HttpHeaders> answer(size_t node, const UpstreamDispatch&);
        void countLimited(SoakUpstream&, size_t node);
        void checkAware();
        void sendOrder();
        void followOrder();
        void checkEvacuation();
        bool isEvacuationBinding(bool start) const { return m_evacuation.acknowledgedAt && m_evacuation.start == start && fleet.now - *m_evacuation.acknowledgedAt > evacuateTime; }

        std::vector<SoakUpstream> m_upstreams;
        SoakEvacuation m_evacuation { .domain = "lhr-depot" };
        Random m_orderRandom; ///< Apart from that of the faults, so that orders do not change which faults a seed gives.
        uint64_t m_requests = 0;
        HeaderNames m_names;
    };

}

NodeFleetOptions EntrySchedule::makeOptions(Random& random, uint64_t seed)
{
    // Three sizes: direct load reports, hubs, and the most entry nodes and voters of any deployment.
    static constexpr std::array<std::pair<int, int>, 3> sizes { { { 8, 5 }, { 20, 5 }, { 72, 9 } } };
    const auto [entries, voters] = sizes[random.below(sizes.size())];
    return { .nodes = entries + voters, .voters = std::min(voters, 7), .disks = voters, .seed = seed, .ledgerGroups = 0, .forwards = true, .announceNodes = static_cast<size_t>(voters), .dialect = makeFleetDialect() };
}

EntrySchedule::EntrySchedule(uint64_t seed)
    : FaultSchedule(seed, makeOptions)
    , m_orderRandom(seed + 1)
{
    // More upstreams keep gossip busier after a restart.
    const size_t upstreams = static_cast<size_t>(random.between(4, fleet.nodes.size() > 50 ? 66 : 16));
    for (size_t n = 0; n < upstreams; ++n) {
        m_upstreams.push_back({ .name = "desk-" + std::to_string(n) });
        fleet.addUpstream(m_upstreams.back().name, UpstreamKind::Service, "desk", n % 2 ? "lhr-depot" : "lhr-gulberg");
    }
}

void EntrySchedule::sendRequests()
{
    for (size_t n = voters; n < fleet.nodes.size(); ++n) {
        if (fleet.nodes[n].node && random.chance(0.3))
            fleet.post(n, { "GET", "/look/1", { { "Host", "h" }, { m_names.requestId, "r" + std::to_string(++m_requests) } }, {} }, ListenerKind::Forward);
    }
}

void EntrySchedule::sendNotice(SoakUpstream& upstream)
{
    auto& announced = fleet.upstream(upstream.name).announced;
    upstream.voter = random.below(voters);
    upstream.nextNotice = fleet.now + announceInterval;
    ++announced.sequence;
    const HttpRequest request = upstream.shutsDown ? HttpRequest { "DELETE", "/" + upstream.name, {}, {} } : HttpRequest { "POST", "/", {}, toJson(announced) };
    upstream.call = fleet.post(upstream.voter, request, ListenerKind::Control);
}

// Sends the notice again, to any voter, until it is acknowledged; the upstream starts again later in either case. The leaving state
// is announced again and again.
void EntrySchedule::followNotice(SoakUpstream& upstream)
{
    if (upstream.call) {
        const auto& caller = fleet.caller(upstream.call);
        if (caller.done && caller.status == 200) {
            upstream.call = 0;
            ++result.faults["acknowledged"];
            if (!upstream.leftAt && isInTouch(upstream.voter))
                upstream.leftAt = caller.answeredAt;
        } else if (caller.done || caller.lost || fleet.now - caller.postedAt > 1_s) {
            sendNotice(upstream);
        }
    } else if (upstream.restartAt && !upstream.shutsDown && fleet.now >= upstream.nextNotice) {
        sendNotice(upstream);
    }
    if (!upstream.restartAt || fleet.now < *upstream.restartAt)
        return;
    auto& announced = fleet.upstream(upstream.name).announced;
    announced.leaving = false;
    announced.sequence = 1;
    // Incarnations are start times, as platforms state them.
    announced.incarnation = static_cast<uint64_t>(fleet.now.value);
    fleet.upstream(upstream.name).announces = true;
    upstream = { .name = upstream.name };
}

void EntrySchedule::changeUpstream()
{
    auto& upstream = m_upstreams[random.below(m_upstreams.size())];
    if (upstream.restartAt)
        return;
    if (random.chance(0.5)) {
        ++result.faults["leave"];
        auto& announced = fleet.upstream(upstream.name).announced;
        upstream.shutsDown = random.chance(0.3);
        announced.leaving = !upstream.shutsDown;
        fleet.upstream(upstream.name).announces = false;
        upstream.restartAt = fleet.now + upstreamPause;
        return sendNotice(upstream);
    }
    ++result.faults[upstream.perSecond ? "limit ends" : "limit"];
    upstream.perSecond = upstream.perSecond ? std::nullopt : std::optional(0.1 * static_cast<double>(random.between(3, 80)));
    upstream.namedAt = fleet.now;
    upstream.toldAt.clear();
    upstream.window.clear();
}

void EntrySchedule::countLimited(SoakUpstream& upstream, size_t node)
{
    const auto told = upstream.toldAt.try_emplace(node, fleet.now + fleet.upstream(upstream.name).latency).first;
    if (fleet.now - told->second < toldFor || fleet.now - upstream.namedAt < limitBindsAfter)
        return;
    upstream.window.emplace_back(fleet.now, node);
    while (fleet.now - upstream.window.front().first > limitWindow)
        upstream.window.pop_front();
    const auto counted = std::count_if(upstream.window.begin(), upstream.window.end(), [&](const auto& it) { return isInTouch(it.second); });
    if (static_cast<double>(counted) > 1.5 * *upstream.perSecond * limitWindow.seconds() + 5)
        fail(upstream.name + " named " + std::to_string(*upstream.perSecond) + " requests a second and got " + std::to_string(counted) + " in 4 s");
}

std::optional<HttpHeaders> EntrySchedule::answer(size_t node, const UpstreamDispatch& dispatch)
{
    HttpHeaders headers { { m_names.requestId, dispatch.idValue }, { m_names.receipt, "proof" } };
    const auto it = std::find_if(m_upstreams.begin(), m_upstreams.end(), [&](const auto& upstream) { return fleet.upstream(upstream.name).announced.address == dispatch.address; });
    if (it == m_upstreams.end())
        return headers;
    if (it->leftAt && fleet.now - *it->leftAt > drainTime && isInTouch(node))
        fail(it->name + " got a request " + std::to_string((fleet.now - *it->leftAt).value) + " ms after it had announced that it leaves, from " + fleet.nodes[node].settings.node);
    if (fleet.upstream(it->name).announced.domain == m_evacuation.domain && isEvacuationBinding(true) && isInTouch(node))
        fail(it->name + " got a request " + std::to_string((fleet.now - *m_evacuation.acknowledgedAt).value) + " ms after the evacuation of its domain was acknowledged, from " + fleet.nodes[node].settings.node);
    if (it->perSecond) {
        headers.emplace_back(rateLimitHeader, std::to_string(*it->perSecond));
        countLimited(*it, node);
    }
    return headers;
}

// A node that would send is a fault, also when no request shows it. A target that has not been seen for 3 s gets none.
void EntrySchedule::checkAware()
{
    for (const auto& upstream : m_upstreams) {
        if (!upstream.leftAt || fleet.now - *upstream.leftAt <= drainTime)
            continue;
        for (size_t n = voters; n < fleet.nodes.size(); ++n) {
            if (!isInTouch(n))
                continue;
            const ForwardTarget* target = findTarget(fleet.nodes[n].node->forward.targets, idOfName<UpstreamId>(upstream.name));
            if (target && !target->leaving && fleet.now - target->lastSeen <= ChoiceOptions {}.staleAfter)
                fail(fleet.nodes[n].settings.node + " would send to " + upstream.name + " " + std::to_string((fleet.now - *upstream.leftAt).value) + " ms after its notice was acknowledged");
        }
    }
}

void EntrySchedule::sendOrder()
{
    m_evacuation.call = fleet.post(m_orderRandom.below(voters), { m_evacuation.start ? "POST" : "DELETE", "/evacuations/" + m_evacuation.domain, {}, {} }, ListenerKind::Control);
}

// Gives the next order from time to time, and repeats it at another voter until it is acknowledged.
void EntrySchedule::followOrder()
{
    if (!m_evacuation.call) {
        if (!m_orderRandom.chance(0.02))
            return;
        m_evacuation.start = !m_evacuation.start;
        m_evacuation.acknowledgedAt.reset();
        ++result.faults[m_evacuation.start ? "evacuate" : "evacuation ends"];
        return sendOrder();
    }
    const auto& caller = fleet.caller(m_evacuation.call);
    if (caller.done && caller.status == 200) {
        m_evacuation.acknowledgedAt = caller.answeredAt;
        m_evacuation.call = 0;
    } else if (caller.done || caller.lost || fleet.now - caller.postedAt > orderPatience) {
        if (!caller.done && !caller.lost)
            fleet.disconnectCaller(m_evacuation.call);
        sendOrder();
    }
}

// A node that would send is a fault, and so is one that does not send again.
void EntrySchedule::checkEvacuation()
{
    for (size_t n = voters; n < fleet.nodes.size(); ++n) {
        if (!isInTouch(n))
            continue;
        const bool evacuated = isEvacuated(*fleet.nodes[n].node, m_evacuation.domain);
        if (isEvacuationBinding(!evacuated))
            fail(fleet.nodes[n].settings.node + (evacuated ? " does not know the end of the evacuation " : " does not know the evacuation ") + std::to_string((fleet.now - *m_evacuation.acknowledgedAt).value) + " ms after its acknowledgement");
    }
}

SoakResult EntrySchedule::run()
{
    const std::string author = " # Asma: soak\n";
    const std::string rules = "backend desk" + author + "forward look host=h prefix=/look/ kind=repeatable timeout=1s target=150ms attempts=2 anonymous=yes to=desk:1" + author;
    if (!start(rules))
        return result;
    fleet.forwardAnswer = [this](size_t node, const UpstreamDispatch& dispatch) { return answer(node, dispatch); };
    for (int step = 0; step < 200 && result.violation.empty(); ++step) {
        // Faults come in series, with quiet spans between them in which all rules bind.
        const bool quiet = step % cycleSteps >= faultSteps;
        if (!quiet && random.chance(0.15))
            injectFault();
        if (random.chance(quiet ? 0.3 : 0.1))
            changeUpstream();
        sendRequests();
        for (auto& upstream : m_upstreams)
            followNotice(upstream);
        followOrder();
        fleet.runFor(TimeMs { random.between(50, 250) });
        checkAware();
        checkEvacuation();
        if (step % cycleSteps == faultSteps)
            recoverAll();
    }
    for (const auto& text : fleet.violations)
        fail(text);
    return result;
}

static SoakResult runEntrySchedule(uint64_t seed)
{
    return EntrySchedule(seed).run();
}

static const SoakRegistration s_entrySoak("entries", runEntrySchedule);

}
