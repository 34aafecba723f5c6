#include "experiment/EntryFinder.h"

#include "experiment/Json.h"

#include <utility>

namespace siskinshunt {

EntryFinder::EntryFinder(Loop& loop, std::vector<std::string> targets, std::string token, bool useEntries, uint64_t seed)
    : m_loop(loop)
    , m_targets(std::move(targets))
    , m_token(std::move(token))
    , m_useEntries(useEntries)
    , m_random(seed)
    , m_nextTarget(m_random.below(m_targets.size()))
{
}

void EntryFinder::find(std::function<void(const std::string&)> done)
{
    if (!m_address.empty() && m_loop.now() < m_validUntil)
        return done(m_address);
    m_waiting.push_back(std::move(done));
    if (m_requesting)
        return;
    m_requesting = true;
    if (m_useEntries)
        requestEntries();
    else
        useAddress(m_targets[m_nextTarget], farFuture - m_loop.now());
}

void EntryFinder::recordFailure(const std::string& address)
{
    m_lastFailed = address;
    if (address == m_address)
        m_address.clear();
    if (m_targets[m_nextTarget] == address)
        m_nextTarget = (m_nextTarget + 1) % m_targets.size();
}

void EntryFinder::requestEntries()
{
    HttpCall call { .address = m_targets[m_nextTarget], .target = "/v1/entries", .headers = { { "Authorization", "Bearer " + m_token } }, .timeout = { 1000 } };
    startHttpCall(m_loop, std::move(call), {}, [this](const HttpAnswer& answer) { handleAnswer(answer); });
}

void EntryFinder::handleAnswer(const HttpAnswer& answer)
{
    constexpr TimeMs fallbackValidity { 500 };
    const auto target = m_targets[m_nextTarget];
    if (answer.end != HttpEnd::Complete || answer.status != 200) {
        m_nextTarget = (m_nextTarget + 1) % m_targets.size();
        return useAddress(target, fallbackValidity);
    }
    const auto json = handle([&] { return parseJson(answer.body, target); }, [](const Error&) { return Json(); });
    std::vector<std::string> addresses;
    for (const auto& it : json["entries"].items) {
        if (it["address"].asText() != m_lastFailed)
            addresses.emplace_back(it["address"].asText());
    }
    m_lastFailed.clear();
    if (addresses.empty())
        return useAddress(target, fallbackValidity);
    useAddress(addresses[m_random.below(addresses.size())], { json["valid_ms"].asInt(1000) });
}

void EntryFinder::useAddress(const std::string& address, TimeMs valid)
{
    m_requesting = false;
    m_address = address;
    m_validUntil = m_loop.now() + valid;
    const auto waiting = std::exchange(m_waiting, {});
    for (const auto& it : waiting)
        it(address);
}

}
