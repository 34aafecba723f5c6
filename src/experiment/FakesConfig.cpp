#include "experiment/FakesConfig.h"

#include "base/PrefixHash.h"
#include "experiment/Fields.h"

#include <algorithm>
#include <set>

namespace siskinshunt {

static FakeIdentity readIdentity(Fields& fields, const std::string& kindKey)
{
    return {
        .name = fields.requiredText("name"),
        .address = fields.address("address"),
        .domain = fields.requiredText("domain"),
        .machine = fields.text("machine", "small"),
        .model = fields.requiredText(kindKey),
        .version = fields.text("version", "v1"),
        .checksFencing = fields.flag("checks_fencing", true),
        .reclaimable = fields.flag("reclaimable", true),
    };
}

/// Converts the rates of the file to durations of the emulated engine. A single call decodes at `tokens_per_second`, a call in a
/// full batch at `1 / (1 + batch_slowdown)` of that rate.
static void readEngine(Fields& fields, FakeEngineConfig& out)
{
    auto& engine = out.engine;
    engine.maxBatch = static_cast<uint32_t>(fields.integer("capacity", 1, 100000, 8));
    const double tokenMs = 1000 / fields.number("tokens_per_second", 0.1, 1e6, 100);
    const double slowdown = fields.number("batch_slowdown", 0, 100, 1);
    engine.stepPerCallMs = tokenMs * slowdown / engine.maxBatch;
    engine.stepBaseMs = tokenMs - std::min(tokenMs, engine.stepPerCallMs);
    engine.prefillMsPerToken = 1000 / fields.number("prefill_tokens_per_second", 1, 1e9, 20000);
    engine.cacheBlocks = static_cast<uint32_t>(fields.integer("cache_tokens", 0, INT64_C(1) << 30, 65536) / prefixBlockTokens);
    engine.cacheEventLag = fields.time("cache_event_delay_ms", 0, 60000, { 500 });
    engine.cacheEventLoss = fields.number("cache_event_loss", 0, 1, 0.02);
    engine.loadLag = fields.time("load_lag_ms", 0, 60000, { 500 });
    out.loadTime = fields.time("load_ms", 0, 3600000, out.loadTime);
    out.keepAlive = fields.time("keep_alive_ms", 0, 60000, out.keepAlive);
}

static FakePlatformConfig readPlatform(const Json& value, const std::string& path, std::string& error)
{
    FakePlatformConfig out;
    Fields fields(value, path, error);
    out.address = fields.address("address");
    out.checksFencing = fields.flag("checks_fencing", out.checksFencing);
    out.startTime = fields.time("start_ms", 0, 3600000, out.startTime);
    out.addressPool = fields.texts("address_pool");
    for (const auto& it : out.addressPool) {
        if (!isLocalAddress(it))
            fields.report("address_pool", "must contain IP:port with the IP in 127.0.0.0/8");
    }
    if (const auto& engine = fields.member("engine"); engine.kind != Json::Kind::Null) {
        Fields inner(engine, fields.pathOfKey("engine"), error);
        readEngine(inner, out.engine);
        inner.finish();
    }
    for (const auto& it : fields.items("prices")) {
        Fields inner(it, fields.pathOfKey("prices"), error);
        out.prices.push_back({ .domain = inner.requiredText("domain"), .machine = inner.requiredText("machine"), .kind = inner.requiredText("kind"), .perHour = inner.number("per_hour", 0, 1e6, 0) });
        if (out.prices.back().kind != "reclaimable" && out.prices.back().kind != "on-demand")
            inner.report("kind", "must be reclaimable or on-demand");
        inner.finish();
    }
    fields.finish();
    return out;
}

static FakeWeightsConfig readWeights(const Json& value, const std::string& path, std::string& error)
{
    FakeWeightsConfig out;
    Fields fields(value, path, error);
    out.address = fields.address("address", false);
    out.perSecond = fields.number("per_second", 0.001, 1e6, out.perSecond);
    out.burst = fields.number("burst", 1, 1e6, out.burst);
    fields.finish();
    return out;
}

static void checkNames(const FakesConfig& config, Fields& fields)
{
    std::set<std::string> names;
    std::set<std::string> addresses;
    const auto add = [&](const FakeIdentity& it, const char* key) {
        if (!names.insert(it.name).second)
            fields.report(key, "the name " + it.name + " is used twice");
        if (!addresses.insert(it.address).second)
            fields.report(key, "the address " + it.address + " is used twice");
    };
    for (const auto& it : config.engines)
        add(it.identity, "engines");
    for (const auto& it : config.services)
        add(it.identity, "services");
}

Result<FakesConfig> parseFakesConfig(const Json& json, const std::string& file)
{
    std::string error;
    FakesConfig out;
    Fields fields(json, file, error);
    out.daemons = fields.texts("daemons");
    out.announceToken = fields.text("announce_token", "");
    out.control = fields.address("control");
    out.seed = static_cast<uint64_t>(fields.integer("seed", 0, INT64_MAX, 1));
    for (const auto& it : fields.items("engines")) {
        Fields inner(it, fields.pathOfKey("engines") + "[" + std::to_string(out.engines.size()) + "]", error);
        out.engines.push_back({ .identity = readIdentity(inner, "model") });
        readEngine(inner, out.engines.back());
        inner.finish();
    }
    for (const auto& it : fields.items("services")) {
        Fields inner(it, fields.pathOfKey("services") + "[" + std::to_string(out.services.size()) + "]", error);
        out.services.push_back({ .identity = readIdentity(inner, "service") });
        auto& service = out.services.back();
        service.serviceTime = inner.time("service_ms", 0, 600000, service.serviceTime);
        service.capacity = static_cast<uint32_t>(inner.integer("capacity", 1, 100000, service.capacity));
        inner.finish();
    }
    if (const auto& it = fields.member("platform"); it.kind != Json::Kind::Null)
        out.platform = readPlatform(it, fields.pathOfKey("platform"), error);
    if (const auto& it = fields.member("weights"); it.kind != Json::Kind::Null)
        out.weights = readWeights(it, fields.pathOfKey("weights"), error);
    checkNames(out, fields);
    fields.finish();
    if (!error.empty())
        return fail(ErrorCode::Invalid, Step::ReadSettings, {}, error);
    return out;
}

}
