#include "experiment/EngineModel.h"

#include "experiment/Answers.h"

#include <algorithm>

namespace siskinshunt {

EngineModel::EngineModel(EngineSpeed speed)
    : m_speed(speed)
{
}

void EngineModel::submit(EngineCall call)
{
    const auto at = std::upper_bound(m_waiting.begin(), m_waiting.end(), call.priority,
        [](int priority, const EngineCall& it) { return priority < it.priority; });
    m_waiting.insert(at, std::move(call));
}

void EngineModel::cancel(uint64_t id)
{
    m_running.remove_if([&](const Running& it) { return it.call.id == id; });
    std::erase_if(m_waiting, [&](const EngineCall& it) { return it.id == id; });
}

void EngineModel::wake(TimeMs now)
{
    if (idle())
        m_now = now;
}

uint64_t EngineModel::waitingTokens() const
{
    uint64_t out = 0;
    for (const auto& it : m_waiting)
        out += it.promptTokens;
    for (const auto& it : m_running)
        out += static_cast<uint64_t>(it.prefillLeft);
    return out;
}

uint64_t EngineModel::cachedTokens() const { return m_recent.size() * prefixBlockTokens; }

double EngineModel::decodeRate() const
{
    const double others = m_running.empty() ? 0 : static_cast<double>(m_running.size() - 1);
    const double most = std::max(1.0, static_cast<double>(m_speed.capacity) - 1);
    return m_speed.tokensPerSecond / (1 + m_speed.batchSlowdown * others / most);
}

uint64_t EngineModel::contextOf(uint64_t id) const
{
    for (const auto& it : m_running) {
        if (it.call.id == id)
            return it.call.promptTokens + it.call.offset + it.produced;
    }
    return 0;
}

void EngineModel::admit()
{
    while (!m_waiting.empty() && m_running.size() < m_speed.capacity) {
        Running it { .call = std::move(m_waiting.front()) };
        m_waiting.pop_front();
        const uint64_t context = it.call.promptTokens + it.call.offset;
        if (it.call.imported) {
            it.cached = context;
        } else {
            for (size_t n = 0; n < it.call.blocks.size() && m_cache.contains(it.call.blocks[n]); ++n)
                it.cached += prefixBlockTokens;
        }
        it.prefillLeft = static_cast<double>(context - std::min(context, it.cached));
        const auto prefilled = static_cast<uint64_t>(it.prefillLeft);
        m_totals.prefilledTokens += prefilled;
        m_totals.cachedTokens += it.cached;
        if (it.call.offset)
            m_totals.resumedTokens += prefilled;
        m_running.push_back(std::move(it));
    }
}

void EngineModel::prefill(double seconds)
{
    for (auto& it : m_running) {
        if (it.prefillLeft <= 0)
            continue;
        const double rate = m_speed.prefillTokensPerSecond / it.call.slowdown;
        const double used = std::min(seconds, it.prefillLeft / rate);
        it.prefillLeft -= used * rate;
        seconds -= used;
        if (it.prefillLeft > 1e-6)
            return;
        it.prefillLeft = 0;
        it.credit = 1;
        store(it.call.blocks);
    }
}

std::vector<EngineProgress> EngineModel::advance(TimeMs now)
{
    const double seconds = std::max<int64_t>(0, (now - m_now).value) / 1000.0;
    m_now = std::max(m_now, now);
    const double rate = decodeRate();
    for (auto& it : m_running) {
        if (it.prefillLeft <= 0)
            it.credit += seconds * rate / it.call.slowdown;
    }
    admit();
    prefill(seconds);
    std::vector<EngineProgress> out;
    for (auto it = m_running.begin(); it != m_running.end();) {
        const uint64_t left = it->call.maxTokens - std::min(it->call.maxTokens, it->call.offset + it->produced);
        const uint64_t tokens = std::min(left, static_cast<uint64_t>(it->credit));
        const bool finished = it->prefillLeft <= 0 && tokens == left;
        it->credit -= static_cast<double>(tokens);
        it->produced += tokens;
        m_totals.decodedTokens += tokens;
        if (tokens || finished)
            out.push_back({ .id = it->call.id, .tokens = tokens, .cachedTokens = it->cached, .finished = finished });
        it = finished ? m_running.erase(it) : std::next(it);
    }
    return out;
}

void EngineModel::addEvent(uint64_t block, bool stored)
{
    constexpr size_t maxEvents = 10000;
    m_events.push_back({ .sequence = ++m_eventSequence, .at = m_now, .block = block, .stored = stored });
    if (m_events.size() > maxEvents)
        m_events.pop_front();
}

void EngineModel::store(const std::vector<uint64_t>& blocks)
{
    for (const uint64_t block : blocks) {
        if (const auto it = m_cache.find(block); it != m_cache.end()) {
            m_recent.splice(m_recent.begin(), m_recent, it->second);
            continue;
        }
        m_recent.push_front(block);
        m_cache[block] = m_recent.begin();
        addEvent(block, true);
        if (m_recent.size() * prefixBlockTokens <= m_speed.cacheTokens)
            continue;
        addEvent(m_recent.back(), false);
        m_cache.erase(m_recent.back());
        m_recent.pop_back();
    }
}

}
