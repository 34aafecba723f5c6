#include "experiment/LoadTally.h"

namespace siskinshunt {

static constexpr double gapUnitsPerMs = 100;

void LoadTally::record(const LoadRecord& call)
{
    auto& mix = m_mixes[call.mix];
    auto& window = m_windows[call.startedAt.value / m_window.value];
    ++mix.calls;
    ++mix.results[static_cast<size_t>(call.result)];
    mix.tokens += call.tokens;
    mix.resent += call.attempts - 1;
    mix.broken += call.broken;
    mix.slowRefusals += call.slowRefusals;
    mix.refusalsWithoutRetryAfter += call.refusalsWithoutRetryAfter;
    if (!call.code.empty() || !call.run.empty())
        ++m_refusals[(call.code.empty() ? "-" : call.code) + " " + (call.run.empty() ? "-" : call.run)];
    if (call.result != CallResult::Answered) {
        window.others += call.result != CallResult::Left;
        return;
    }
    ++window.answered;
    if (!call.version.empty())
        ++window.versions[call.version];
    mix.totalMs.record(static_cast<uint64_t>(call.total.value));
    window.totalMs[call.mix].record(static_cast<uint64_t>(call.total.value));
    if (call.firstToken.value <= 0)
        return;
    mix.firstTokenMs.record(static_cast<uint64_t>(call.firstToken.value));
    window.firstTokenMs[call.mix].record(static_cast<uint64_t>(call.firstToken.value));
    if (call.tokens > 1) {
        const double gap = static_cast<double>((call.total - call.firstToken).value) / static_cast<double>(call.tokens - 1);
        mix.tokenGapMs.record(static_cast<uint64_t>(gap * gapUnitsPerMs));
    }
}

uint64_t LoadTally::calls() const
{
    uint64_t out = 0;
    for (const auto& [name, mix] : m_mixes)
        out += mix.calls;
    return out;
}

uint64_t LoadTally::count(CallResult result) const
{
    uint64_t out = 0;
    for (const auto& [name, mix] : m_mixes)
        out += mix.results[static_cast<size_t>(result)];
    return out;
}

static Json quantiles(const Histogram& histogram, double unit = 1)
{
    const auto at = [&](double q) { return Json(static_cast<double>(histogram.quantile(q)) / unit); };
    return Json::object({ { "count", histogram.count() }, { "mean", histogram.mean() / unit }, { "p50", at(0.5) }, { "p95", at(0.95) }, { "p99", at(0.99) }, { "max", static_cast<double>(histogram.max()) / unit } });
}

static Json mixJson(const MixTally& mix)
{
    auto results = Json::object();
    for (const auto& it : enumNames<CallResult>)
        results.set(std::string(it.name), mix.results[static_cast<size_t>(it.value)]);
    return Json::object({ { "calls", mix.calls }, { "results", results }, { "tokens", mix.tokens }, { "resent", mix.resent }, { "broken", mix.broken }, { "first_token_ms", quantiles(mix.firstTokenMs) }, { "total_ms", quantiles(mix.totalMs) }, { "between_tokens_ms", quantiles(mix.tokenGapMs, gapUnitsPerMs) } });
}

static Json p95ByMix(const std::map<std::string, Histogram>& histograms)
{
    auto out = Json::object();
    for (const auto& [name, histogram] : histograms)
        out.set(name, histogram.quantile(0.95));
    return out;
}

Json LoadTally::windowsJson() const
{
    auto out = Json::array();
    for (const auto& [number, window] : m_windows) {
        auto versions = Json::object();
        for (const auto& [name, count] : window.versions)
            versions.set(name, count);
        out.push(Json::object({ { "at_s", TimeMs { number * m_window.value }.seconds() }, { "answered", window.answered }, { "others", window.others }, { "first_token_p95_ms", p95ByMix(window.firstTokenMs) }, { "total_p95_ms", p95ByMix(window.totalMs) }, { "versions", versions } }));
    }
    return out;
}

Json LoadTally::costsJson() const
{
    auto out = Json::array();
    for (const auto& it : m_costs)
        out.push(Json::object({ { "at_s", it.at.seconds() }, { "per_hour", it.perHour }, { "spent", it.spent }, { "prefilled_tokens", it.prefilled }, { "resumed_tokens", it.resumed }, { "cached_tokens", it.cached }, { "decoded_tokens", it.decoded }, { "work_after_notice", it.workAfterNotice } }));
    return out;
}

static Json keysJson(const std::vector<std::string>& keys)
{
    constexpr size_t maxKeys = 20;
    auto out = Json::array();
    for (size_t n = 0; n < keys.size() && n < maxKeys; ++n)
        out.push(keys[n]);
    return out;
}

Json LoadTally::checksJson() const
{
    uint64_t broken = 0;
    uint64_t slow = 0;
    uint64_t withoutRetryAfter = 0;
    for (const auto& [name, mix] : m_mixes) {
        broken += mix.broken;
        slow += mix.slowRefusals;
        withoutRetryAfter += mix.refusalsWithoutRetryAfter;
    }
    auto out = Json::object({ { "lost", count(CallResult::Lost) }, { "cut", count(CallResult::Cut) }, { "crossed", count(CallResult::Crossed) }, { "doubled", static_cast<uint64_t>(m_audit.doubled.size()) }, { "missing", static_cast<uint64_t>(m_audit.missing.size()) }, { "false_not_run", static_cast<uint64_t>(m_audit.falseNotRun.size()) }, { "broken_connections", broken }, { "slow_refusals", slow }, { "refusals_without_retry_after", withoutRetryAfter } });
    out.set("work_after_notice", m_costs.empty() ? 0 : m_costs.back().workAfterNotice - m_costs.front().workAfterNotice);
    out.set("doubled_keys", keysJson(m_audit.doubled));
    out.set("missing_keys", keysJson(m_audit.missing));
    out.set("false_not_run_keys", keysJson(m_audit.falseNotRun));
    out.set("audit", m_auditMissing.empty() ? "done" : m_auditMissing);
    return out;
}

Json LoadTally::toJson(const Json& about) const
{
    auto mixes = Json::object();
    for (const auto& [name, mix] : m_mixes)
        mixes.set(name, mixJson(mix));
    auto refusals = Json::object();
    for (const auto& [name, count] : m_refusals)
        refusals.set(name, count);
    return Json::object({ { "about", about }, { "checks", checksJson() }, { "mixes", mixes }, { "refusals", refusals }, { "windows", windowsJson() }, { "costs", costsJson() } });
}

bool runIsClean(const Json& run, bool strict)
{
    const auto& checks = run["checks"];
    for (const char* key : { "lost", "cut", "crossed", "doubled", "missing", "false_not_run" }) {
        if (checks[key].asInt() != 0)
            return false;
    }
    return !strict || checks["broken_connections"].asInt() == 0;
}

}
