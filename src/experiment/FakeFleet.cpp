#include "experiment/FakeFleet.h"

#include <algorithm>
#include <iostream>

namespace siskinshunt {

FakeFleet::FakeFleet(Loop& loop, const FakesConfig& config)
    : m_loop(loop)
    , m_config(config)
    , m_sharedEngineState { .faults = {}, .weights = WeightStore(config.weights.perSecond, config.weights.burst), .random = Random(config.seed) }
{
    for (const auto& it : config.engines)
        addInstance(addEngine(it), it.identity.name, it.identity.reclaimable ? "reclaimable" : "on-demand");
    for (const auto& it : config.services) {
        m_upstreams.push_back(std::make_unique<FakeService>(loop, it, AnnounceOptions { config.daemons, config.announceToken }, m_executions));
        addInstance(*m_upstreams.back(), it.identity.name, it.identity.reclaimable ? "reclaimable" : "on-demand");
    }
}

FakeUpstream& FakeFleet::addEngine(FakeEngineConfig config)
{
    auto engine = std::make_unique<FakeEngine>(m_loop, std::move(config), AnnounceOptions { m_config.daemons, m_config.announceToken }, m_sharedEngineState);
    m_engines.push_back(engine.get());
    m_upstreams.push_back(std::move(engine));
    return *m_upstreams.back();
}

FakeFleet::Instance& FakeFleet::addInstance(FakeUpstream& upstream, const std::string& id, const std::string& kind)
{
    const auto& identity = upstream.identity();
    m_instances[id] = { .id = id, .domain = identity.domain, .machine = identity.machine, .kind = kind, .address = identity.address, .upstream = &upstream };
    upstream.onStopping([this] { accrueCost(); });
    return m_instances[id];
}

const char* FakeFleet::stateOf(const Instance& instance)
{
    if (instance.starting)
        return "starting";
    return instance.upstream->isRunning() ? "running" : "stopped";
}

Result<void> FakeFleet::start()
{
    m_costAccruedAt = m_loop.now();
    for (auto& [id, instance] : m_instances)
        BOOST_LEAF_CHECK(instance.upstream->start());
    return {};
}

std::string FakeFleet::freeAddress() const
{
    for (const auto& address : m_config.platform.addressPool) {
        const bool used = std::any_of(m_instances.begin(), m_instances.end(), [&](const auto& it) {
            return it.second.address == address && (it.second.starting || it.second.upstream->isRunning());
        });
        if (!used)
            return address;
    }
    return {};
}

static bool tryStart(FakeUpstream& upstream)
{
    return handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(upstream.start());
            return true;
        },
        [](const Error& error) {
            std::cerr << toString(error) << '\n';
            return false;
        });
}

int FakeFleet::restart(const std::string& name, const std::string& domain)
{
    int started = 0;
    accrueCost();
    for (auto& [id, instance] : m_instances) {
        const bool named = !name.empty() && instance.upstream->identity().name == name;
        const bool inDomain = !domain.empty() && instance.domain == domain && instance.configured && !instance.upstream->isRunning();
        if (!named && !inDomain)
            continue;
        instance.upstream->stop();
        started += tryStart(*instance.upstream);
    }
    return started;
}

FakeFleet::StartResult FakeFleet::startInstance(const Json& order)
{
    const std::string id(order["id"].asText());
    if (m_instances.contains(id))
        return StartResult::Duplicate;
    const std::string domain(order["domain"].asText());
    const auto address = freeAddress();
    if (address.empty() || m_refusedDomains.contains(domain) || m_refusedDomains.contains("*"))
        return StartResult::Refused;
    auto config = m_config.platform.engine;
    const auto kind = order["kind"].asText();
    config.identity = { .name = id, .address = address, .domain = domain, .machine = std::string(order["machine"].asText()), .model = std::string(order["model"].asText()), .version = std::string(order["version"].asText()), .checksFencing = m_config.platform.engine.identity.checksFencing, .reclaimable = kind != "on-demand" };
    accrueCost();
    auto& upstream = addEngine(config);
    auto& added = addInstance(upstream, id, kind == "on-demand" ? "on-demand" : "reclaimable");
    added.starting = true;
    added.configured = false;
    m_loop.after(m_config.platform.startTime, [this, id] {
        auto& instance = m_instances[id];
        if (!instance.starting)
            return;
        instance.starting = false;
        tryStart(*instance.upstream);
    });
    return StartResult::Created;
}

bool FakeFleet::stopInstance(const std::string& id)
{
    const auto it = m_instances.find(id);
    if (it == m_instances.end())
        return false;
    accrueCost();
    it->second.starting = false;
    it->second.upstream->stop();
    return true;
}

void FakeFleet::refuseStarts(const std::string& domain, bool refuse)
{
    const std::string key = domain.empty() ? "*" : domain;
    if (refuse)
        m_refusedDomains.insert(key);
    else
        m_refusedDomains.erase(key);
}

std::vector<FakeUpstream*> FakeFleet::select(std::string_view name, std::string_view domain)
{
    std::vector<FakeUpstream*> out;
    for (const auto& it : m_upstreams) {
        const auto& identity = it->identity();
        if ((!name.empty() && identity.name == name) || (!domain.empty() && identity.domain == domain))
            out.push_back(it.get());
    }
    return out;
}

Json FakeFleet::describeUpstreams()
{
    auto list = Json::array();
    for (const auto& it : m_upstreams)
        list.push(it->describe());
    return Json::object({ { "upstreams", list } });
}

Json FakeFleet::describeInstances() const
{
    auto list = Json::array();
    for (const auto& [id, it] : m_instances) {
        const auto& identity = it.upstream->identity();
        list.push(Json::object({ { "id", id }, { "domain", it.domain }, { "machine", it.machine }, { "kind", it.kind }, { "state", stateOf(it) }, { "address", it.address }, { "model", identity.model }, { "version", identity.version } }));
    }
    return Json::object({ { "instances", list } });
}

Json FakeFleet::describeNotices()
{
    auto list = Json::array();
    for (const auto& [id, it] : m_instances) {
        if (const auto remaining = it.upstream->reclaimIn())
            list.push(Json::object({ { "id", id }, { "name", it.upstream->identity().name }, { "domain", it.domain }, { "reclaim_in_ms", *remaining } }));
    }
    return Json::object({ { "notices", list } });
}

Json FakeFleet::describePrices() const
{
    auto list = Json::array();
    for (const auto& it : m_config.platform.prices)
        list.push(Json::object({ { "domain", it.domain }, { "machine", it.machine }, { "kind", it.kind }, { "per_hour", it.perHour } }));
    return Json::object({ { "prices", list } });
}

double FakeFleet::perHour() const
{
    double out = 0;
    for (const auto& [id, instance] : m_instances) {
        if (!instance.upstream->isRunning() && !instance.starting)
            continue;
        for (const auto& price : m_config.platform.prices) {
            if (price.domain == instance.domain && price.machine == instance.machine && price.kind == instance.kind)
                out += price.perHour;
        }
    }
    return out;
}

void FakeFleet::accrueCost()
{
    const auto now = m_loop.now();
    m_spent += perHour() * (now - m_costAccruedAt).seconds() / 3600;
    m_costAccruedAt = now;
}

Json FakeFleet::describeCost()
{
    accrueCost();
    EngineTotals sum;
    for (const auto* it : m_engines) {
        const auto& totals = it->totals();
        sum.prefilledTokens += totals.prefilledTokens;
        sum.cachedTokens += totals.cachedTokens;
        sum.resumedTokens += totals.resumedTokens;
        sum.decodedTokens += totals.decodedTokens;
    }
    uint64_t callsAfterNotice = 0;
    for (const auto& it : m_upstreams)
        callsAfterNotice += it->workAfterNotice();
    return Json::object({ { "per_hour", perHour() }, { "spent", m_spent }, { "prefilled_tokens", sum.prefilledTokens }, { "cached_tokens", sum.cachedTokens }, { "resumed_tokens", sum.resumedTokens }, { "decoded_tokens", sum.decodedTokens }, { "work_after_notice", callsAfterNotice }, { "weight_fetches", m_sharedEngineState.weights.fetches() } });
}

}
