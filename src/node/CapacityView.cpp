#include "node/CapacityView.h"

#include "node/PlatformPoll.h"

#include <algorithm>

namespace siskinshunt {

static constexpr TimeMs demandReportValidity { 5000 };
// A listed instance that has not announced itself for this long is considered dead and replaced.
static constexpr TimeMs silenceTimeout { 60000 };
// Used until a start time has been measured.
static constexpr TimeMs defaultStartTime { 60000 };
// Used for a machine type until its first engine announces itself with measured values.
static constexpr double defaultTokensPerSecond = 500;
static constexpr double defaultPrefillPerSecond = 10000;
static constexpr double defaultPrefillPerRequest = 1000;
static constexpr double shapeSmoothingWeight = 0.2;

std::string versionToStart(const Node& node, const std::string& model)
{
    const VersionShare* best = nullptr;
    for (const auto& it : node.router.split.shares) {
        if (it.model == model && it.route.empty() && it.share > 0 && (!best || it.share > best->share))
            best = &it;
    }
    if (best || hasShares(node.router.split, model))
        return best ? best->version : std::string {};
    std::map<std::string, int> counts;
    for (const auto& [id, upstream] : node.membership.upstreams.entries) {
        if (upstream.announced.model == model)
            ++counts[upstream.announced.version];
    }
    const auto most = std::max_element(counts.begin(), counts.end(), [](const auto& a, const auto& b) { return a.second < b.second; });
    return most == counts.end() ? std::string {} : most->first;
}

// Runners of a version without traffic do not count as capacity and are not stopped: a move may need them.
static bool servesTraffic(const Node& node, const std::string& model, const std::string& version)
{
    if (version.empty() || !hasShares(node.router.split, model))
        return true;
    return std::any_of(node.router.split.shares.begin(), node.router.split.shares.end(), [&](const VersionShare& it) {
        return it.model == model && it.version == version && it.share > 0;
    });
}

static bool hasRule(const Node& node, const InstanceView& view)
{
    return std::any_of(node.rules->instances.begin(), node.rules->instances.end(), [&](const InstancesRule& rule) {
        return rule.model == view.model && rule.domain == view.domain && rule.machine == view.machine && (!rule.kind || *rule.kind == view.kind);
    });
}

static InstanceKind kindOf(bool reclaimable)
{
    return reclaimable ? InstanceKind::Reclaimable : InstanceKind::OnDemand;
}

static bool isNoticed(const CapacityState& capacity, const std::string& id)
{
    return std::any_of(capacity.notices.begin(), capacity.notices.end(), [&](const auto& it) { return it.id == id; });
}

// Whether a listed instance has been silent for too long. The planner itself detects late starts of its own instances.
static bool isDead(Node& node, const PlatformInstance& listed)
{
    auto& capacity = node.leader.capacity;
    if (listed.state != PlatformState::Running || capacity.planner.starts.contains(listed.id)) {
        capacity.silentSince.erase(listed.id);
        return false;
    }
    const auto [it, inserted] = capacity.silentSince.try_emplace(listed.id, node.now);
    return node.now - it->second >= silenceTimeout;
}

static void addListed(Node& node, const PlatformInstance& listed, std::vector<InstanceView>& out)
{
    auto& capacity = node.leader.capacity;
    if (listed.state == PlatformState::Stopped)
        return;
    InstanceView view { .id = listed.id, .domain = listed.domain, .machine = listed.machine, .model = listed.model, .kind = kindOf(listed.reclaimable) };
    std::string version = listed.version;
    if (const Upstream* upstream = findUpstream(node.membership.upstreams, idOfName<UpstreamId>(listed.id))) {
        if (upstream->announced.kind != UpstreamKind::Engine)
            return;
        capacity.silentSince.erase(listed.id);
        view.phase = InstancePhase::Running;
        view.model = upstream->announced.model;
        view.leaving = upstream->leavingSince || upstream->reclaimAt;
        version = upstream->announced.version;
    } else if (isDead(node, listed))
        return;
    view.leaving = view.leaving || isNoticed(capacity, listed.id);
    view.canStop = hasRule(node, view);
    if (servesTraffic(node, view.model, version))
        out.push_back(std::move(view));
}

static void addUnlisted(const Node& node, const Upstream& upstream, std::vector<InstanceView>& out)
{
    const auto& it = upstream.announced;
    if (it.kind != UpstreamKind::Engine || !servesTraffic(node, it.model, it.version))
        return;
    out.push_back({ .id = it.name, .domain = it.domain, .machine = it.machine, .model = it.model, .kind = kindOf(it.reclaimable), .phase = InstancePhase::Running, .leaving = upstream.leavingSince || upstream.reclaimAt, .canStop = false });
}

static std::vector<InstanceView> instanceViews(Node& node)
{
    std::vector<InstanceView> out;
    std::set<std::string> listed;
    for (const auto& it : node.leader.capacity.instances) {
        listed.insert(it.id);
        addListed(node, it, out);
    }
    std::erase_if(node.leader.capacity.silentSince, [&](const auto& entry) { return !listed.contains(entry.first); });
    for (const auto& [id, upstream] : node.membership.upstreams.entries) {
        if (!listed.contains(upstream.announced.name))
            addUnlisted(node, upstream, out);
    }
    return out;
}

static std::vector<InstancePrice> pricesOf(const Node& node)
{
    std::vector<InstancePrice> out;
    if (hasFreshPrices(node)) {
        for (const auto& it : node.leader.capacity.prices)
            out.push_back({ it.domain, it.machine, kindOf(it.reclaimable), it.perHour });
        return out;
    }
    for (const auto& rule : node.rules->prices)
        out.push_back({ rule.domain, rule.machine, rule.kind, rule.perHour });
    return out;
}

static int priorityOf(const RuleSet& rules, const std::string& className)
{
    const auto it = std::find_if(rules.classes.begin(), rules.classes.end(), [&](const ClassRule& rule) { return rule.name == className; });
    return it == rules.classes.end() ? ClassRule {}.priority : it->priority;
}

// Sums the demand of all nodes by model and class.
static std::map<std::pair<std::string, std::string>, DemandItem> demandSums(Node& node)
{
    auto& reports = node.leader.capacity.demand;
    std::erase_if(reports, [&](const auto& entry) { return node.now - entry.second.at > demandReportValidity; });
    std::map<std::pair<std::string, std::string>, DemandItem> sums;
    for (const auto& [id, report] : reports) {
        for (const auto& item : report.items) {
            auto& sum = sums[{ item.model, item.className }];
            sum.requestsPerSecond += item.requestsPerSecond;
            sum.tokensPerSecond += item.tokensPerSecond;
            sum.prefillPerSecond += item.prefillPerSecond;
        }
    }
    return sums;
}

// Measures engine throughput by machine and model: the announced rate per call times the slots, and the prompt token rate.
static void measureShapes(Node& node)
{
    struct Sum {
        double tokens = 0;
        double prefill = 0;
        int n = 0;
    };
    std::map<std::pair<std::string, std::string>, Sum> sums;
    for (const auto& [id, upstream] : node.membership.upstreams.entries) {
        const auto& load = upstream.announced.load;
        if (upstream.announced.kind != UpstreamKind::Engine || load.tokensPerSecond <= 0)
            continue;
        auto& sum = sums[{ upstream.announced.machine, upstream.announced.model }];
        sum.tokens += load.capacity * load.tokensPerSecond;
        sum.prefill += load.prefillTokensPerSecond;
        ++sum.n;
    }
    for (const auto& [key, sum] : sums) {
        const auto [it, inserted] = node.leader.capacity.shapes.try_emplace(key, InstanceShape { .machine = key.first, .model = key.second });
        auto& shape = it->second;
        const double weight = inserted ? 1 : shapeSmoothingWeight;
        shape.tokensPerSecond += (sum.tokens / sum.n - shape.tokensPerSecond) * weight;
        // Holds prompt tokens per second until shapeFor() divides them by the prompt tokens per request.
        shape.requestsPerSecond += (sum.prefill / sum.n - shape.requestsPerSecond) * weight;
    }
}

static double prefillPerRequest(const std::map<std::pair<std::string, std::string>, DemandItem>& sums, const std::string& model)
{
    double prefill = 0;
    double requests = 0;
    for (const auto& [key, sum] : sums) {
        if (key.first == model) {
            prefill += sum.prefillPerSecond;
            requests += sum.requestsPerSecond;
        }
    }
    return requests > 0 && prefill > 0 ? std::max(1.0, prefill / requests) : defaultPrefillPerRequest;
}

static InstanceShape shapeFor(const CapacityState& capacity, const InstancesRule& rule, double prefillTokensPerRequest)
{
    const std::pair key { rule.machine, rule.model };
    const auto measured = capacity.shapes.find(key);
    InstanceShape shape { rule.machine, rule.model, defaultTokensPerSecond, defaultPrefillPerSecond, defaultStartTime };
    if (measured != capacity.shapes.end())
        shape = measured->second;
    shape.requestsPerSecond /= prefillTokensPerRequest;
    const auto startTime = capacity.startTimes.find(key);
    shape.startTime = startTime == capacity.startTimes.end() ? defaultStartTime : startTime->second;
    return shape;
}

void recordStartTime(Node& node, const std::string& machine, const std::string& model, TimeMs startTime)
{
    const auto [it, inserted] = node.leader.capacity.startTimes.try_emplace({ machine, model }, startTime);
    it->second = inserted ? startTime : (it->second * 3 + startTime) / 4;
    // A start counts as late after twice this time. The minimum allows for some seconds of queueing at the weight store.
    it->second = std::max(it->second, 15_s);
}

CapacityInputs capacityInputs(Node& node)
{
    CapacityInputs inputs;
    const auto sums = demandSums(node);
    for (const auto& [key, sum] : sums)
        inputs.demand.push_back({ key.first, key.second, priorityOf(*node.rules, key.second), sum.tokensPerSecond, sum.requestsPerSecond });
    measureShapes(node);
    std::set<std::pair<std::string, std::string>> addedShapes;
    for (const auto& rule : node.rules->instances) {
        if (versionToStart(node, rule.model).empty())
            continue;
        inputs.rules.push_back(rule);
        if (addedShapes.emplace(rule.machine, rule.model).second)
            inputs.shapes.push_back(shapeFor(node.leader.capacity, rule, prefillPerRequest(sums, rule.model)));
    }
    inputs.prices = pricesOf(node);
    inputs.instances = instanceViews(node);
    return inputs;
}

}
