#include "soak/FaultSchedule.h"
#include "soak/Soak.h"

#include <algorithm>

namespace siskinshunt {

// Entry nodes that are cut off from upstreams and requests that crash upstreams, while voters and entry nodes fail. Checks what callers and
// upstreams see.

static constexpr TimeMs contactTime { 3000 }; ///< After it, a cut must not be felt and a crashing request must be known.
static constexpr TimeMs restartTime { 3000 }; ///< Of an upstream that has crashed.
static constexpr TimeMs answerLimit { 4500 }; ///< The longest time of a route, and half a second.
static constexpr size_t maxLaterArrivals = 3;

namespace {

    struct Cut {
        TimeMs since;
        TimeMs until;
        UpstreamPath path = UpstreamPath::Open;
        std::set<size_t> nodes;
        std::string backend; ///< Empty: all.
        // First tries that were sent from `contactTime` on, at nodes in touch: all and served, at these nodes and at the others.
        std::array<std::pair<size_t, size_t>, 2> tries;
    };

    struct BadRequest {
        std::string path;
        std::string body;
        std::vector<TimeMs> crashes;
        size_t laterArrivals = 0;
    };

    struct SentRequest {
        uint64_t caller = 0;
        size_t node = 0;
        std::string id;
        TimeMs at;
        bool bad = false;
    };

    class ReachSchedule : FaultSchedule {
    public:
        explicit ReachSchedule(uint64_t seed);
        SoakResult run();

    private:
        static NodeFleetOptions makeOptions(Random&, uint64_t seed);
        void startCut();
        void sendRequest(size_t node);
        void restartUpstreams();
        /// Whether a node that was not cut off had run undisturbed for some time, and goes on to, so that others could be served by way of it.
        bool isServable(TimeMs at) const;
        void checkAnswers();
        void checkCut();
        UpstreamPath pathTo(size_t node, const std::string& address);
        DispatchFault arrive(size_t node, const UpstreamDispatch&);

        Cut m_cut;
        std::vector<BadRequest> m_bad;
        std::vector<SentRequest> m_sent; ///< Not checked yet.
        std::map<std::string, size_t> m_runs; ///< Of once requests, by id.
        std::map<std::string, TimeMs> m_crashedAt; ///< By address of an upstream that is down, or goes down in a moment.
        uint64_t m_requests = 0;
        HeaderNames m_names;
    };

}

NodeFleetOptions ReachSchedule::makeOptions(Random& random, uint64_t seed)
{
    static constexpr std::array<int, 3> sizes { 6, 9, 24 };
    const int entries = sizes[random.below(sizes.size())];
    return { .nodes = entries + 5, .voters = 5, .disks = 5, .seed = seed, .ledgerGroups = 0, .forwards = true, .announceNodes = 5 };
}

ReachSchedule::ReachSchedule(uint64_t seed)
    : FaultSchedule(seed, makeOptions)
{
    const auto add = [&](const std::string& backend, int64_t count) {
        for (int64_t n = 0; n < count; ++n)
            fleet.addUpstream(backend + "-" + std::to_string(n), UpstreamKind::Service, backend, "lhr-depot");
    };
    add("desk", random.between(3, 5));
    add("lm", random.between(6, 14));
}

void ReachSchedule::startCut()
{
    static constexpr std::array<UpstreamPath, 3> paths { UpstreamPath::Hangs, UpstreamPath::Refused, UpstreamPath::RefusesNew };
    m_cut = { .since = fleet.now, .until = fleet.now + TimeMs { random.between(5000, 12000) }, .path = paths[random.below(paths.size())], .nodes = {}, .backend = {}, .tries = {} };
    if (random.chance(0.3))
        m_cut.backend = random.chance(0.5) ? "desk" : "lm";
    const size_t entries = fleet.nodes.size() - voters;
    const auto count = static_cast<size_t>(random.between(1, static_cast<int64_t>(entries) - 1));
    while (m_cut.nodes.size() < count)
        m_cut.nodes.insert(randomEntry());
    ++result.faults["cut off"];
}

UpstreamPath ReachSchedule::pathTo(size_t node, const std::string& address)
{
    const bool applies = fleet.now < m_cut.until && m_cut.nodes.contains(node) && (m_cut.backend.empty() || fleet.upstreams.at(address).announced.model == m_cut.backend);
    return applies ? m_cut.path : UpstreamPath::Open;
}

DispatchFault ReachSchedule::arrive(size_t node, const UpstreamDispatch& dispatch)
{
    const auto& request = dispatch.request;
    if (request.target == "/book/1" && ++m_runs[dispatch.idValue] > 1)
        fail(dispatch.idValue + " ran " + std::to_string(m_runs[dispatch.idValue]) + " times");
    const auto bad = std::find_if(m_bad.begin(), m_bad.end(), [&](const BadRequest& it) { return it.body == request.body; });
    if (bad == m_bad.end() || m_crashedAt.contains(dispatch.address))
        return DispatchFault::None;
    if (bad->crashes.size() >= 3 && fleet.now - bad->crashes[2] > contactTime && isInTouch(node) && ++bad->laterArrivals > maxLaterArrivals)
        fail(bad->body + " was sent " + std::to_string(bad->laterArrivals) + " times more after its third crash");
    bad->crashes.push_back(fleet.now);
    m_crashedAt[dispatch.address] = fleet.now;
    ++result.faults["crash"];
    return DispatchFault::CloseAfterRun;
}

void ReachSchedule::restartUpstreams()
{
    std::erase_if(m_crashedAt, [&](const auto& it) {
        auto& upstream = fleet.upstreams.at(it.first);
        // The crash itself comes with the answer that the upstream begins to write.
        if (upstream.up && fleet.now > it.second + 5_ms)
            fleet.stop(upstream.announced.name);
        if (fleet.now < it.second + restartTime)
            return false;
        upstream.up = true;
        ++upstream.announced.incarnation;
        return true;
    });
}

void ReachSchedule::sendRequest(size_t node)
{
    static const std::array<std::string, 4> paths { "/book/1", "/look/1", "/plan/1", "/ask/1" };
    const bool bad = !m_bad.empty() && random.chance(0.05);
    const std::string id = "r" + std::to_string(++m_requests);
    const BadRequest* known = bad ? &m_bad[random.below(m_bad.size())] : nullptr;
    const std::string path = known ? known->path : paths[random.below(paths.size())];
    const std::string body = known ? known->body : "body " + id;
    const uint64_t caller = fleet.post(node, { "POST", path, { { "Host", "h" }, { m_names.requestId, id }, { m_names.tokens, "210,10" }, { m_names.timeLeft, "3000" } }, body }, ListenerKind::Forward);
    m_sent.push_back({ caller, node, id, fleet.now, bad });
}

bool ReachSchedule::isServable(TimeMs at) const
{
    for (size_t n = voters; n < fleet.nodes.size(); ++n) {
        if (!m_cut.nodes.contains(n) && fleet.nodes[n].node && !fleet.nodes[n].frozen && disturbedAt[n] < at - contactTime)
            return true;
    }
    return false;
}

void ReachSchedule::checkAnswers()
{
    std::erase_if(m_sent, [&](const SentRequest& it) {
        const auto& caller = fleet.caller(it.caller);
        if (!caller.done && !caller.lost && fleet.now - it.at <= answerLimit)
            return false;
        if (!caller.done && !caller.lost && isInTouch(it.node) && fleet.now - disturbedAt[it.node] > answerLimit + contactTime)
            fail(it.id + " has no answer after " + std::to_string((fleet.now - it.at).value) + " ms");
        if (caller.done && !caller.headers.empty() && findHeader(caller.headers, m_names.requestId) != it.id)
            fail(it.id + " got the answer of another request");
        const bool counts = !it.bad && isServable(it.at) && it.at - m_cut.since > contactTime && it.at < m_cut.until && isInTouch(it.node) && disturbedAt[it.node] < it.at - contactTime;
        auto& tries = m_cut.tries[m_cut.nodes.contains(it.node) ? 0 : 1];
        tries.first += counts ? 1 : 0;
        tries.second += counts && caller.status == 200 && !caller.aborted ? 1 : 0;
        return true;
    });
}

// Callers of nodes that are cut off are served nearly as often as others.
void ReachSchedule::checkCut()
{
    const auto [cutTries, cutServed] = m_cut.tries[0];
    const auto [otherTries, otherServed] = m_cut.tries[1];
    m_cut.tries = {};
    if (!cutTries || !otherTries || cutTries - cutServed <= 10 + (cutTries + otherTries) / 50)
        return;
    if (static_cast<double>(cutServed) / static_cast<double>(cutTries) < static_cast<double>(otherServed) / static_cast<double>(otherTries) * 2 / 3)
        fail("nodes that are cut off served " + std::to_string(cutServed) + " of " + std::to_string(cutTries) + " first tries, the others " + std::to_string(otherServed) + " of " + std::to_string(otherTries));
}

SoakResult ReachSchedule::run()
{
    const std::string author = " # Asma: soak\n";
    const std::string rules = "backend desk" + author + "backend lm" + author
        + "forward book host=h prefix=/book/ kind=once timeout=1s target=150ms attempts=1 anonymous=yes to=desk:1" + author
        + "forward look host=h prefix=/look/ kind=repeatable timeout=1s target=150ms attempts=2 anonymous=yes to=desk:1" + author
        + "forward plan host=h prefix=/plan/ kind=stream timeout=4s target=800ms gap=250ms attempts=2 resume=yes anonymous=yes to=lm:1" + author
        + "forward ask host=h prefix=/ask/ kind=stream timeout=4s target=600ms gap=250ms attempts=1 resume=no anonymous=yes to=lm:1" + author;
    if (!start(rules))
        return result;
    fleet.upstreamPath = [&](size_t node, const std::string& address) { return pathTo(node, address); };
    fleet.arrived = [&](size_t node, const UpstreamDispatch& dispatch) { return arrive(node, dispatch); };
    fleet.forwardAnswer = [&](size_t, const UpstreamDispatch& dispatch) -> std::optional<HttpHeaders> {
        const bool bad = std::any_of(m_bad.begin(), m_bad.end(), [&](const BadRequest& it) { return it.body == dispatch.request.body; });
        return bad ? std::nullopt : std::optional(HttpHeaders { { m_names.requestId, dispatch.idValue }, { m_names.receipt, "proof" } });
    };
    fleet.runFor(5_s);
    for (int step = 0; step < 400 && result.violation.empty(); ++step) {
        const bool quiet = step % (2 * cycleSteps) >= faultSteps;
        if (!quiet && random.chance(0.15))
            injectFault();
        if (fleet.now >= m_cut.until + answerLimit) {
            checkCut();
            startCut();
        }
        if (random.chance(0.02)) {
            const bool service = random.chance(0.5);
            m_bad.push_back({ .path = service ? (random.chance(0.5) ? "/book/1" : "/look/1") : (random.chance(0.5) ? "/plan/1" : "/ask/1"), .body = "bad " + std::to_string(m_bad.size()), .crashes = {} });
        }
        for (int n = 0; n < 5; ++n) {
            for (size_t node = voters; node < fleet.nodes.size(); ++node) {
                if (fleet.nodes[node].node && random.chance(0.2))
                    sendRequest(node);
            }
            fleet.runFor(TimeMs { random.between(10, 50) });
            restartUpstreams();
        }
        checkAnswers();
        if (step % (2 * cycleSteps) == faultSteps)
            recoverAll();
    }
    for (const auto& text : fleet.violations)
        fail(text);
    return result;
}

static SoakResult runReachSchedule(uint64_t seed)
{
    return ReachSchedule(seed).run();
}

static const SoakRegistration s_reachSoak("reach", runReachSchedule);

}
