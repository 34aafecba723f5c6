#include "experiment/FakeService.h"

#include "experiment/Answers.h"

namespace siskinshunt {

size_t Executions::count(const std::string& key) const
{
    const auto it = m_counts.find(key);
    return it == m_counts.end() ? 0 : it->second.size();
}

Json Executions::toJson() const
{
    auto list = Json::array();
    for (const auto& [key, services] : m_counts) {
        auto by = Json::array();
        for (const auto& it : services)
            by.push(it);
        list.push(Json::object({ { "key", key }, { "count", static_cast<uint64_t>(services.size()) }, { "by", by } }));
    }
    return Json::object({ { "executions", list } });
}

FakeService::FakeService(Loop& loop, FakeServiceConfig config, AnnounceOptions options, Executions& executions)
    : FakeUpstream(loop, config.identity, std::move(options))
    , m_config(std::move(config))
    , m_executions(executions)
{
}

UpstreamLoad FakeService::load()
{
    return { .running = m_running, .capacity = m_config.capacity };
}

void FakeService::clearState()
{
    ++m_generation;
    m_running = 0;
}

void FakeService::handleRequest(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    if (pathOf(request.target) == "/health")
        return answerJson(reply, 200, Json::object({ { "ok", true } }));
    recordCall();
    auto out = Json::object({ { "confirmation", serviceConfirmation(request.method, request.target, request.body) } });
    HttpHeaders headers { { "Content-Type", "application/json" } };
    for (const char* name : { "Siskinshunt-Call", "Siskinshunt-Attempt" }) {
        if (const auto value = findHeader(request.headers, name); !value.empty())
            headers.emplace_back(name, value);
    }
    if (request.method != "GET") {
        const auto body = handle([&] { return parseJson(request.body, "body"); }, [](const Error&) { return Json(); });
        std::string key(body["booking"].asText());
        if (key.empty())
            key = findHeader(request.headers, "Idempotency-Key");
        if (!key.empty())
            m_executions.record(key, identity().name);
        out.set("booking", key);
    } else {
        const auto path = pathOf(request.target);
        out.set("executions", static_cast<uint64_t>(m_executions.count(std::string(path.substr(path.rfind('/') + 1)))));
    }
    ++m_running;
    const auto broken = request.method != "GET" ? consumeBrokenAnswer() : std::nullopt;
    loop().after(m_config.serviceTime, [this, alive = m_alive, generation = m_generation, reply, headers, broken, text = toText(out)] {
        if (!*alive || generation != m_generation)
            return;
        --m_running;
        if (broken)
            breakAnswer(*reply, *broken);
        else
            reply->answer(200, headers, text);
    });
}

}
