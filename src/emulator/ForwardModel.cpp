#include "emulator/ForwardModel.h"

#include "base/Hash.h"
#include "base/Random.h"
#include "forward/Overload.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <numbers>
#include <queue>
#include <unordered_map>

namespace siskinshunt {

static constexpr double lateWorthShare = 0.1;
static constexpr TimeMs linkDelay { 1 };
static constexpr std::string_view backendName = "engines";

namespace {

    struct ModelRequest {
        size_t classIndex = 0;
        size_t node = 0;
        double arrivedAt = 0; ///< First attempt.
        double sentAt = 0;
        bool cameBack = false;
        uint32_t promptTokens = 0;
        std::vector<PromptPart> parts;
        uint32_t events = 1;
        size_t engine = 0;
        double prefillTokens = 0; ///< As the node has estimated, until the first event.
        double tokensBeforeFirstEvent = 0;
        PrefillWork prefill;
        double hint = 0; ///< Tokens; 0 without one.
        double expectedSlotMs = 0;
        double firstEventAt = 0;
        double lastEventAt = 0;
        // At the engine.
        double tokensToPrefill = 0;
        uint32_t tokensDecoded = 0;
        bool firstEventSeen = false;
    };
    using RequestPtr = std::shared_ptr<ModelRequest>;

    struct CachedPart {
        double tokens = 0;
        double lastUsed = 0;
    };

    struct ModelEngine {
        UpstreamId id;
        bool open = false; ///< Accepts new requests.
        std::vector<RequestPtr> running;
        std::deque<RequestPtr> waiting;
        std::unordered_map<uint64_t, CachedPart> cache;
        bool stepping = false;
    };

    struct SentLoads {
        std::map<UpstreamId, TargetLoad> loads;
        std::vector<std::pair<uint64_t, UpstreamId>> placed;
    };

    struct ModelNode {
        ForwardTargets targets;
        PromptPartIndex parts;
        ChoiceOptions choice;
        SentLoads last; ///< Last report.
        std::vector<std::pair<uint64_t, UpstreamId>> placed; ///< Since the last report.
    };

    struct ModelHub {
        std::map<UpstreamId, TargetLoad> sum; ///< Of its domain, as told to the other hubs.
        std::vector<std::pair<uint64_t, UpstreamId>> placed; ///< Not told to its nodes yet.
    };

    class ForwardModel {
    public:
        explicit ForwardModel(const ForwardModelOptions&);
        ForwardModelResult run();

    private:
        void at(double time, std::function<void()> run) { m_events.push({ time, ++m_lastEvent, std::move(run) }); }
        double lognormal(double mean, double spread);
        uint64_t rankOf(const ModelPart&);
        void scheduleArrivals(size_t classIndex);
        RequestPtr makeRequest(size_t classIndex);
        void attempt(const RequestPtr&);
        void refuse(const RequestPtr&, double retryAfter);
        void setEngines(size_t n);
        void startStep(size_t engine);
        void endStep(size_t engine, const RequestPtr& prefilled, double tokens);
        void admit(ModelEngine&);
        void finish(ModelEngine&, const RequestPtr&);
        void recordFirstEvent(const RequestPtr&);
        OutputRequest outputRequest(const ModelRequest&) const;
        double prefillMs(const ModelRequest&) const;
        void learnFromSend(ModelRequest&, const TargetChoice&);
        void learnFromFirstEvent(const ModelRequest&);
        void learnFromEnd(const ModelRequest&);
        void recordPause(ModelRequest&);
        void recordLearned();
        void report(size_t node);
        void loadChanged(size_t node);
        void tickReport(size_t node);
        void sumUp(size_t hub);
        double now() const { return m_now; }
        Random& choiceRandom() { return m_options.separateDraws ? m_choiceRandom : m_random; }
        TimeMs nowMs() const { return { static_cast<int64_t>(m_now) }; }
        ForwardTarget& targetOf(const ModelRequest& it) { return m_nodes[it.node].targets.entries.at(m_engines[it.engine].id); }

        struct Event {
            double time = 0;
            uint64_t number = 0;
            std::function<void()> run;
            bool operator<(const Event& other) const { return std::tie(time, number) > std::tie(other.time, other.number); }
        };

        const ForwardModelOptions& m_options;
        Random m_random;
        Random m_hintRandom; ///< Separate, so that hints do not change the other draws.
        Random m_choiceRandom;
        double m_now = 0;
        uint64_t m_lastEvent = 0;
        std::priority_queue<Event> m_events;
        std::vector<ModelEngine> m_engines;
        std::vector<ModelNode> m_nodes;
        std::vector<ModelHub> m_hubs;
        std::map<uint64_t, uint32_t> m_partTokens;
        uint64_t m_lastOwnPart = 0;
        ForwardModelResult m_result;
    };

}

std::vector<ModelClass> largePromptClasses(double perSecond)
{
    const double unit = perSecond / 462;
    return {
        { .name = "long", .urgency = 1, .perSecond = 146 * unit, .worth = 3.7, .target = 800_ms, .deadline = 6_s, .parts = { { 4, 2520, 0.4, 0 }, { 1244, 3780, 0.7, 0.3 } }, .ownTokens = 2890, .ownSpread = 1, .events = 17.4, .eventSpread = 1 },
        { .name = "quick", .urgency = 0, .perSecond = 185 * unit, .worth = 1.9, .target = 600_ms, .deadline = 4_s, .parts = { { 15, 341, 0.4, 0 }, { 1576, 227, 0.7, 0.3 } }, .ownTokens = 1800, .ownSpread = 1.2, .events = 7.5, .eventSpread = 1 },
        { .name = "script", .urgency = 2, .perSecond = 131 * unit, .worth = 0.61, .target = 400_ms, .deadline = 15_s, .parts = { { 78, 103, 0.4, 0 }, { 742, 68.6, 0.7, 0.3 } }, .ownTokens = 543, .ownSpread = 0.89, .events = 93, .eventSpread = 0.7 },
    };
}

double ForwardModelResult::share() const
{
    double worth = 0;
    double earned = 0;
    for (const auto& it : classes) {
        worth += it.worth;
        earned += it.earned;
    }
    return worth > 0 ? earned / worth : 0;
}

double ForwardModelResult::shareInTime() const
{
    uint64_t asked = 0;
    uint64_t inTime = 0;
    for (const auto& it : classes) {
        asked += it.asked;
        inTime += it.inTime;
    }
    return asked ? static_cast<double>(inTime) / static_cast<double>(asked) : 0;
}

double ForwardModelResult::firstEventMs(double quantile) const
{
    std::vector<float> all;
    for (const auto& it : classes)
        all.insert(all.end(), it.firstEventMs.begin(), it.firstEventMs.end());
    if (all.empty())
        return 0;
    const auto nth = all.begin() + static_cast<std::ptrdiff_t>(std::min<double>(static_cast<double>(all.size()) - 1, quantile * static_cast<double>(all.size())));
    std::nth_element(all.begin(), nth, all.end());
    return *nth;
}

uint64_t ForwardModelResult::pauses() const
{
    uint64_t out = 0;
    for (const auto& it : classes)
        out += it.pauses;
    return out;
}

ForwardModelOptions largeFleetOptions(size_t nodes, bool updates)
{
    static constexpr size_t domains = 5;
    static constexpr double requestsPerSecond = 263;
    static constexpr size_t engines = 50;
    // As the hubs of a node space reports and updates.
    static constexpr size_t nodesPerInterval = 32;
    ForwardModelOptions options { .nodes = nodes, .domains = domains, .classes = largePromptClasses(requestsPerSecond) };
    options.engines = { { 0_ms, engines } };
    options.hubInterval = (updates ? 50_ms : 150_ms) * static_cast<int64_t>(1 + nodes / domains / nodesPerInterval);
    options.reportsAtOnce = updates;
    options.jitterMs = costJitterMs(nodes);
    return options;
}

ForwardModel::ForwardModel(const ForwardModelOptions& options)
    : m_options(options)
    , m_random(options.seed)
    , m_hintRandom(options.seed + 1)
    , m_choiceRandom(options.seed + 2)
    , m_nodes(options.nodes)
    , m_hubs(options.domains)
{
    size_t most = 0;
    for (const auto& [time, n] : options.engines)
        most = std::max(most, n);
    for (size_t n = 0; n < most; ++n)
        m_engines.push_back({ .id = { 1000 + n } });
    for (auto& node : m_nodes)
        node.choice.jitterMs = options.jitterMs;
    for (const auto& it : options.classes)
        m_result.classes.push_back({ .name = it.name });
}

double ForwardModel::lognormal(double mean, double spread)
{
    return std::max(1.0, mean * std::exp(m_random.normal(0, 1) * spread - spread * spread / 2));
}

// The inverse of the distribution function of a power law over the ranks.
uint64_t ForwardModel::rankOf(const ModelPart& part)
{
    const double u = m_random.uniform();
    const double exponent = 1 - part.skew;
    return std::min<uint64_t>(part.things - 1, static_cast<uint64_t>(std::pow(u, 1 / exponent) * part.things));
}

RequestPtr ForwardModel::makeRequest(size_t classIndex)
{
    const ModelClass& it = m_options.classes[classIndex];
    auto request = std::make_shared<ModelRequest>();
    request->classIndex = classIndex;
    request->node = m_random.below(m_nodes.size());
    request->arrivedAt = now();
    for (size_t n = 0; n < it.parts.size(); ++n) {
        const uint64_t hash = combineHash(combineHash(classIndex, n), rankOf(it.parts[n]));
        auto [tokens, isNew] = m_partTokens.try_emplace(hash, 0);
        if (isNew)
            tokens->second = static_cast<uint32_t>(lognormal(it.parts[n].meanTokens, it.parts[n].spread));
        request->parts.push_back({ hash, tokens->second });
    }
    request->parts.push_back({ combineHash(1, ++m_lastOwnPart), static_cast<uint32_t>(std::clamp(lognormal(it.ownTokens, it.ownSpread), it.minOwnTokens, it.maxOwnTokens)) });
    for (const auto& part : request->parts)
        request->promptTokens += part.tokens;
    request->events = static_cast<uint32_t>(lognormal(it.events, it.eventSpread));
    if (it.hintFactor > 0)
        request->hint = std::max(1.0, it.hintFactor * request->events * m_options.engine.tokensPerEvent * std::exp(m_hintRandom.normal(0, it.hintSpread)));
    return request;
}

void ForwardModel::scheduleArrivals(size_t classIndex)
{
    const ModelClass& it = m_options.classes[classIndex];
    const double rate = it.perSecond / 1000 * (1 + m_options.swing * std::sin(2 * std::numbers::pi * now() / static_cast<double>(m_options.period.value)));
    const double wait = m_random.exponential(m_options.clump / rate);
    if (now() + wait > static_cast<double>(std::min(m_options.duration, it.until).value))
        return;
    at(now() + wait, [this, classIndex] {
        const auto n = static_cast<int>(1 + m_random.exponential(m_options.clump - 1) + m_random.uniform());
        for (int k = 0; k < n; ++k) {
            const RequestPtr request = makeRequest(classIndex);
            auto& result = m_result.classes[classIndex];
            ++result.asked;
            result.worth += m_options.classes[classIndex].worth;
            attempt(request);
        }
        scheduleArrivals(classIndex);
    });
}

void ForwardModel::refuse(const RequestPtr& request, double retryAfter)
{
    const ModelClass& it = m_options.classes[request->classIndex];
    const double back = now() + std::max(20.0, retryAfter);
    if (request->cameBack || back > request->arrivedAt + static_cast<double>(it.deadline.value)) {
        ++m_result.classes[request->classIndex].refused;
        return;
    }
    request->cameBack = true;
    request->node = choiceRandom().below(m_nodes.size());
    at(back, [this, request] { attempt(request); });
}

void ForwardModel::attempt(const RequestPtr& request)
{
    const ModelClass& it = m_options.classes[request->classIndex];
    ModelNode& node = m_nodes[request->node];
    const ChoiceRequest wanted { .backend = backendName, .parts = request->parts, .promptTokens = request->promptTokens, .urgency = it.urgency };
    const auto choice = chooseTarget(node.targets, node.parts, node.choice, wanted, nowMs(), choiceRandom());
    if (!choice)
        return refuse(request, 700);
    if (isOverloaded(*choice, it.target))
        return refuse(request, choice->backlogMs);
    request->engine = choice->target.value - 1000;
    request->sentAt = now();
    request->prefillTokens = choice->prefillTokens;
    request->tokensBeforeFirstEvent = choice->tokensBeforeFirstEvent;
    learnFromSend(*request, *choice);
    ForwardTarget& target = targetOf(*request);
    target.own.running += 1;
    target.own.prefillTokens[static_cast<size_t>(it.urgency)] += choice->prefillTokens;
    for (const auto& part : request->parts) {
        recordPart(node.parts, nowMs(), part.hash, choice->target);
        if (part != request->parts.back())
            node.placed.emplace_back(part.hash, choice->target);
    }
    loadChanged(request->node);
    at(now() + static_cast<double>(linkDelay.value), [this, request] {
        m_engines[request->engine].waiting.push_back(request);
        startStep(request->engine);
    });
}

void ForwardModel::setEngines(size_t n)
{
    for (size_t k = 0; k < m_engines.size(); ++k) {
        auto& engine = m_engines[k];
        const bool open = k < n;
        if (open == engine.open)
            continue;
        engine.open = open;
        for (auto& node : m_nodes) {
            if (open) {
                ForwardTarget target { .id = engine.id, .backend = std::string(backendName), .slots = m_options.engine.slots, .engine = true, .lastSeen = m_options.duration };
                target.domain = std::to_string(k % m_options.domains);
                upsertTarget(node.targets, target);
            } else {
                node.targets.entries.at(engine.id).leaving = true;
            }
        }
    }
}

// Moves waiting requests into free slots, the most urgent ones first, as far as the memory holds their prompts.
void ForwardModel::admit(ModelEngine& engine)
{
    double used = 0;
    for (const auto& it : engine.running)
        used += it->parts.back().tokens + it->tokensDecoded;
    while (!engine.waiting.empty() && engine.running.size() < m_options.engine.slots) {
        const auto next = std::min_element(engine.waiting.begin(), engine.waiting.end(), [&](const auto& a, const auto& b) { return m_options.classes[a->classIndex].urgency < m_options.classes[b->classIndex].urgency; });
        if (used + (*next)->promptTokens > m_options.engine.memoryTokens && !engine.running.empty())
            return;
        const RequestPtr request = *next;
        engine.waiting.erase(next);
        request->tokensToPrefill = request->promptTokens;
        bool cached = true;
        for (const auto& part : request->parts) {
            const auto it = engine.cache.find(part.hash);
            cached = cached && it != engine.cache.end();
            if (cached) {
                request->tokensToPrefill -= part.tokens;
                it->second.lastUsed = now();
            }
        }
        request->tokensToPrefill = std::max(1.0, request->tokensToPrefill);
        used += request->parts.back().tokens;
        engine.running.push_back(request);
    }
}

void ForwardModel::startStep(size_t n)
{
    ModelEngine& engine = m_engines[n];
    if (engine.stepping)
        return;
    admit(engine);
    if (engine.running.empty())
        return;
    engine.stepping = true;
    RequestPtr prefilled;
    double context = 0;
    for (const auto& it : engine.running) {
        context += it->promptTokens;
        if (it->tokensToPrefill > 0 && (!prefilled || m_options.classes[it->classIndex].urgency < m_options.classes[prefilled->classIndex].urgency))
            prefilled = it;
    }
    const auto& speed = m_options.engine;
    const double tokens = prefilled ? std::min<double>(speed.chunkTokens, prefilled->tokensToPrefill) : 0;
    const double before = prefilled ? prefilled->promptTokens - prefilled->tokensToPrefill : 0;
    const double prefillMs = tokens / speed.prefillTokensPerMs + tokens * (before + tokens / 2) / 1e6 * speed.attentionMsPerMillionPairs;
    const double duration = speed.stepMs + speed.stepMsPerSlot * static_cast<double>(engine.running.size()) + speed.stepMsPerThousandTokens * context / 1000 + prefillMs;
    at(now() + duration, [this, n, prefilled, tokens] { endStep(n, prefilled, tokens); });
}

OutputRequest ForwardModel::outputRequest(const ModelRequest& request) const
{
    const ModelClass& it = m_options.classes[request.classIndex];
    return { .account = it.account, .route = it.name, .hint = request.hint };
}

double ForwardModel::prefillMs(const ModelRequest& request) const
{
    const auto& choice = m_nodes[request.node].choice;
    return equivalentTokens(choice.costs.pairs, request.prefill) / choice.prefillEstimator.tokensPerMs;
}

void ForwardModel::learnFromSend(ModelRequest& request, const TargetChoice& choice)
{
    request.prefill = choice.prefill;
    if (!m_options.learnsCosts)
        return;
    auto& costs = m_nodes[request.node].choice.costs;
    request.expectedSlotMs = expectedSlotMs(costs, backendName, prefillMs(request), estimateOutput(costs.output, outputRequest(request)));
    recordSlotUse(costs, std::string(backendName), request.expectedSlotMs);
}

void ForwardModel::learnFromFirstEvent(const ModelRequest& request)
{
    if (m_options.learnsCosts && request.tokensBeforeFirstEvent > 0)
        recordPrefill(m_nodes[request.node].choice.costs.pairs, { .work = request.prefill, .queuedTokens = std::max(0.0, request.tokensBeforeFirstEvent - request.prefillTokens), .milliseconds = now() - request.sentAt });
}

void ForwardModel::learnFromEnd(const ModelRequest& request)
{
    if (!m_options.learnsCosts)
        return;
    auto& costs = m_nodes[request.node].choice.costs;
    recordOutput(costs.output, outputRequest(request), request.tokensDecoded);
    recordSlotTime(costs, std::string(backendName), { .prefillMs = prefillMs(request), .decodeMs = now() - request.firstEventAt, .tokens = static_cast<double>(request.tokensDecoded), .expectedMs = request.expectedSlotMs });
}

void ForwardModel::recordPause(ModelRequest& request)
{
    if (request.tokensDecoded % m_options.engine.tokensPerEvent)
        return;
    if (now() - request.lastEventAt > static_cast<double>(m_options.pauseTarget.value))
        ++m_result.classes[request.classIndex].pauses;
    request.lastEventAt = now();
}

void ForwardModel::recordLearned()
{
    for (const auto& node : m_nodes) {
        m_result.tokensPerMillionPairs += node.choice.costs.pairs.tokensPerMillionPairs / static_cast<double>(m_nodes.size());
        m_result.queueDelayMs += queueDelayMs(node.choice.costs, backendName, m_options.engine.slots) / static_cast<double>(m_nodes.size());
    }
}

void ForwardModel::recordFirstEvent(const RequestPtr& request)
{
    const ModelClass& it = m_options.classes[request->classIndex];
    ModelNode& node = m_nodes[request->node];
    request->firstEventSeen = true;
    request->firstEventAt = request->lastEventAt = now();
    learnFromFirstEvent(*request);
    if (request->tokensBeforeFirstEvent > 0)
        recordPrefillTime(node.choice.prefillEstimator, request->tokensBeforeFirstEvent, now() - request->sentAt);
    auto& tokens = targetOf(*request).own.prefillTokens[static_cast<size_t>(it.urgency)];
    tokens = std::max(0.0, tokens - request->prefillTokens);
    loadChanged(request->node);
    const double wait = now() - request->arrivedAt;
    auto& result = m_result.classes[request->classIndex];
    result.firstEventMs.push_back(static_cast<float>(wait));
    if (wait > static_cast<double>(it.deadline.value))
        return;
    const bool inTime = wait <= static_cast<double>(it.target.value);
    ++(inTime ? result.inTime : result.late);
    result.earned += inTime ? it.worth : it.worth * lateWorthShare;
}

void ForwardModel::finish(ModelEngine& engine, const RequestPtr& request)
{
    for (const auto& part : request->parts)
        engine.cache[part.hash] = { static_cast<double>(part.tokens), now() };
    double kept = 0;
    std::vector<std::pair<double, uint64_t>> byUse;
    for (const auto& [hash, part] : engine.cache) {
        kept += part.tokens;
        byUse.emplace_back(part.lastUsed, hash);
    }
    if (kept <= m_options.engine.memoryTokens)
        return;
    std::sort(byUse.begin(), byUse.end());
    for (const auto& [lastUsed, hash] : byUse) {
        kept -= engine.cache[hash].tokens;
        engine.cache.erase(hash);
        if (kept <= m_options.engine.memoryTokens * 0.9)
            return;
    }
}

void ForwardModel::endStep(size_t n, const RequestPtr& prefilled, double tokens)
{
    ModelEngine& engine = m_engines[n];
    engine.stepping = false;
    if (prefilled)
        prefilled->tokensToPrefill -= tokens;
    std::vector<RequestPtr> left;
    for (const auto& it : engine.running) {
        if (it->tokensToPrefill > 0) {
            left.push_back(it);
            continue;
        }
        ++it->tokensDecoded;
        if (!it->firstEventSeen) {
            recordFirstEvent(it);
            // Other requests find the prompt in the cache from now on.
            finish(engine, it);
        }
        recordPause(*it);
        if (it->tokensDecoded < it->events * m_options.engine.tokensPerEvent) {
            left.push_back(it);
            continue;
        }
        learnFromEnd(*it);
        auto& running = targetOf(*it).own.running;
        running = std::max(0.0, running - 1);
        loadChanged(it->node);
    }
    engine.running = std::move(left);
    startStep(n);
}

void ForwardModel::report(size_t n)
{
    ModelNode& node = m_nodes[n];
    node.last.loads.clear();
    for (const auto& [id, target] : node.targets.entries) {
        if (target.own.running > 0)
            node.last.loads[id] = target.own;
    }
    // Every hub passes the parts on to its own nodes.
    for (auto& hub : m_hubs)
        hub.placed.insert(hub.placed.end(), node.placed.begin(), node.placed.end());
    node.placed.clear();
}

void ForwardModel::loadChanged(size_t n)
{
    if (m_options.reportsAtOnce)
        at(now() + static_cast<double>(linkDelay.value), [this, n] { report(n); });
}

void ForwardModel::tickReport(size_t n)
{
    report(n);
    at(now() + static_cast<double>(m_options.hubInterval.value), [this, n] { tickReport(n); });
}

void ForwardModel::sumUp(size_t h)
{
    ModelHub& hub = m_hubs[h];
    hub.sum.clear();
    for (size_t n = h; n < m_nodes.size(); n += m_hubs.size()) {
        for (const auto& [id, load] : m_nodes[n].last.loads)
            hub.sum[id] += load;
    }
    std::map<UpstreamId, TargetLoad> all;
    for (const auto& it : m_hubs) {
        for (const auto& [id, load] : it.sum)
            all[id] += load;
    }
    for (size_t n = h; n < m_nodes.size(); n += m_hubs.size()) {
        auto others = all;
        for (const auto& [id, load] : m_nodes[n].last.loads)
            others[id] -= load;
        applyFleetLoadReport(m_nodes[n].targets, nowMs(), NodeId { 1 }, others);
        for (const auto& [part, engine] : hub.placed)
            recordPart(m_nodes[n].parts, nowMs(), part, engine);
    }
    hub.placed.clear();
    at(now() + static_cast<double>(m_options.hubInterval.value), [this, h] { sumUp(h); });
}

ForwardModelResult ForwardModel::run()
{
    for (const auto& [time, n] : m_options.engines)
        at(static_cast<double>(time.value), [this, n = n] { setEngines(n); });
    for (size_t n = 0; n < m_nodes.size(); ++n)
        at(m_random.uniform() * static_cast<double>(m_options.hubInterval.value), [this, n] { tickReport(n); });
    for (size_t h = 0; h < m_hubs.size(); ++h)
        at(m_random.uniform() * static_cast<double>(m_options.hubInterval.value), [this, h] { sumUp(h); });
    for (size_t n = 0; n < m_options.classes.size(); ++n)
        at(std::max(1.0, static_cast<double>(m_options.classes[n].from.value)), [this, n] { scheduleArrivals(n); });
    while (!m_events.empty() && m_events.top().time <= static_cast<double>(m_options.duration.value)) {
        const auto event = m_events.top();
        m_events.pop();
        m_now = event.time;
        event.run();
    }
    recordLearned();
    return std::move(m_result);
}

ForwardModelResult runForwardModel(const ForwardModelOptions& options)
{
    return ForwardModel(options).run();
}

}
