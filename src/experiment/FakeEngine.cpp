#include "experiment/FakeEngine.h"

#include "experiment/Answers.h"

#include <charconv>

namespace siskinshunt {

static constexpr TimeMs tickTime { 5 };

FakeEngine::FakeEngine(Loop& loop, FakeEngineConfig config, AnnounceOptions options, EngineSurroundings& surroundings)
    : FakeUpstream(loop, config.identity, std::move(options))
    , m_config(std::move(config))
    , m_surroundings(surroundings)
    , m_model(m_config.speed)
    , m_orders(m_config.identity.checksFencing)
{
}

FakeLoad FakeEngine::currentLoad() const
{
    return {
        .running = m_model.running(),
        .waiting = m_model.waiting(),
        .capacity = m_config.speed.capacity,
        .cachedTokens = m_model.cachedTokens(),
        .waitingTokens = m_model.waitingTokens(),
        .tokensPerSecond = m_model.decodeRate(),
        .prefillTokensPerSecond = m_config.speed.prefillTokensPerSecond,
    };
}

FakeLoad FakeEngine::load()
{
    const auto now = loop().now();
    m_samples.push_back({ now, currentLoad() });
    while (m_samples.size() > 1 && m_samples[1].at + m_config.loadLag <= now)
        m_samples.pop_front();
    return m_samples.front().load;
}

EngineTotals FakeEngine::totals() const
{
    const auto& current = m_model.totals();
    return {
        .prefilledTokens = m_totals.prefilledTokens + current.prefilledTokens,
        .cachedTokens = m_totals.cachedTokens + current.cachedTokens,
        .resumedTokens = m_totals.resumedTokens + current.resumedTokens,
        .decodedTokens = m_totals.decodedTokens + current.decodedTokens,
    };
}

void FakeEngine::forget()
{
    m_totals = totals();
    ++m_generation;
    m_model = EngineModel(m_config.speed);
    m_orders = OrderLog(m_config.identity.checksFencing);
    m_calls.clear();
    m_imported.clear();
    m_samples.clear();
    m_ticking = false;
}

void FakeEngine::handleRequest(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    const auto path = pathOf(request.target);
    if (path == "/health")
        return answerJson(reply, 200, Json::object({ { "ok", true } }));
    if (path == "/cache/events")
        return cacheEvents(reply, request);
    const auto body = handle([&] { return parseJson(request.body, "body"); }, [](const Error&) { return Json(); });
    if (request.method != "POST" || body.kind != Json::Kind::Object)
        return reply->answer(400, {}, fakeErrorBody("malformed", "POST with a JSON object is expected"));
    if (path == "/v1/chat/completions" || path == "/v1/completions")
        return complete(request, reply, body);
    if (path == "/orders")
        return order(reply, body);
    if (path == "/kv/export")
        return exportCache(reply, body);
    if (path == "/kv/import")
        return importCache(reply, body);
    reply->answer(404, {}, fakeErrorBody("unknown_path", path));
}

static uint64_t numberOf(std::string_view text, uint64_t otherwise)
{
    uint64_t out = otherwise;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

void FakeEngine::complete(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply, const Json& body)
{
    const auto fault = m_surroundings.faults.find(identity().version, request.target, m_model.running() + 1, loop().now());
    HttpHeaders echo;
    for (const char* name : { "Siskinshunt-Call", "Siskinshunt-Attempt" }) {
        if (const auto value = findHeader(request.headers, name); !value.empty())
            echo.emplace_back(name, value);
    }
    if (fault.mode == FaultMode::Fail && m_surroundings.random.chance(fault.rate))
        return reply->answer(500, echo, fakeErrorBody("engine_failed", "this version fails"));
    const auto prompt = promptOf(body);
    const uint64_t maxTokens = static_cast<uint64_t>(std::max<int64_t>(1, body["max_tokens"].asInt(16)));
    const uint64_t offset = std::min(maxTokens, numberOf(findHeader(request.headers, "Siskinshunt-Offset"), 0));
    const std::string callHeader(findHeader(request.headers, "Siskinshunt-Call"));
    const uint64_t id = m_nextCall++;
    m_model.wake(loop().now());
    m_model.submit({ .id = id,
        .priority = static_cast<int>(numberOf(findHeader(request.headers, "Siskinshunt-Priority"), 5)),
        .promptTokens = promptTokens(prompt),
        .blocks = prefixBlocks(prompt),
        .offset = offset,
        .maxTokens = maxTokens,
        .slowdown = fault.mode == FaultMode::Slow ? fault.factor : 1,
        .imported = m_imported.erase(callHeader) != 0 });
    auto& call = m_calls[id];
    call = { .reply = reply, .callHeader = callHeader, .echo = echo, .hash = promptHash(prompt), .promptTokens = promptTokens(prompt), .offset = offset, .start = offset, .stream = body["stream"].asBool(), .chat = pathOf(request.target) == "/v1/chat/completions" };
    reply->onGone([this, id, alive = m_alive, generation = m_generation] {
        if (!*alive || generation != m_generation)
            return;
        m_model.cancel(id);
        m_calls.erase(id);
    });
    if (call.stream) {
        echo.emplace_back("Content-Type", "text/event-stream");
        reply->startStream(200, echo);
    }
    scheduleTick();
}

void FakeEngine::scheduleTick()
{
    if (m_ticking)
        return;
    m_ticking = true;
    loop().after(tickTime, [this, alive = m_alive, generation = m_generation] {
        if (!*alive || generation != m_generation)
            return;
        m_ticking = false;
        tick();
    });
}

void FakeEngine::tick()
{
    for (const auto& progress : m_model.advance(loop().now())) {
        const auto it = m_calls.find(progress.id);
        if (it == m_calls.end())
            continue;
        emitTokens(it->second, progress);
        if (!progress.finished)
            continue;
        auto call = std::move(it->second);
        m_calls.erase(it);
        finish(call);
    }
    if (!m_model.idle())
        scheduleTick();
}

Json FakeEngine::usage(const Call& call) const
{
    return Json::object({ { "prompt_tokens", call.promptTokens }, { "completion_tokens", call.offset }, { "total_tokens", call.promptTokens + call.offset }, { "cached_tokens", call.cached } });
}

Json FakeEngine::chunk(const Call& call, std::string_view text, bool last) const
{
    auto choice = Json::object({ { "index", 0 } });
    if (!call.chat)
        choice.set("text", text);
    else if (call.stream)
        choice.set("delta", Json::object({ { "content", text } }));
    else
        choice.set("message", Json::object({ { "role", "assistant" }, { "content", text } }));
    choice.set("finish_reason", last ? Json("length") : Json());
    const char* object = call.chat ? (call.stream ? "chat.completion.chunk" : "chat.completion") : "text_completion";
    return Json::object({ { "id", call.callHeader }, { "object", object }, { "model", identity().model }, { "version", identity().version }, { "choices", Json::array({ choice }) } });
}

void FakeEngine::emitTokens(Call& call, const EngineProgress& progress)
{
    call.cached = progress.cachedTokens;
    std::string events;
    for (uint64_t n = 0; n < progress.tokens; ++n) {
        const auto token = answerToken(call.hash, call.offset++);
        if (call.stream)
            events += "id: " + std::to_string(call.offset) + "\ndata: " + toText(chunk(call, token, false)) + "\n\n";
        else
            call.text += token;
    }
    if (!events.empty())
        call.reply->write(events);
}

void FakeEngine::finish(Call& call)
{
    if (takeDropAnswer())
        return call.reply->drop();
    if (!call.stream) {
        auto body = chunk(call, call.text, true);
        body.set("usage", usage(call));
        auto headers = call.echo;
        headers.emplace_back("Content-Type", "application/json");
        return call.reply->answer(200, headers, toText(body));
    }
    auto last = chunk(call, "", true);
    last.set("usage", usage(call));
    call.reply->write("id: " + std::to_string(call.offset) + "\ndata: " + toText(last) + "\n\ndata: [DONE]\n\n");
    call.reply->finish();
}

void FakeEngine::order(const std::shared_ptr<HttpReply>& reply, const Json& body)
{
    switch (m_orders.judge(body)) {
    case OrderLog::Verdict::Old:
        return reply->answer(409, {}, fakeErrorBody("old_fencing_number", "an order with a higher epoch or sequence was accepted"));
    case OrderLog::Verdict::Known:
        return answerJson(reply, 200, Json::object({ { "id", body["id"] }, { "known", true } }));
    case OrderLog::Verdict::Fresh:
        break;
    }
    const auto kind = body["kind"].asText();
    if (kind == "load_version" || kind == "load_model")
        loadVersion(std::string(body["model"].asText()), std::string(body["version"].asText()));
    else if (kind == "drain")
        setLeaving();
    answerJson(reply, 200, Json::object({ { "id", body["id"] }, { "known", false } }));
}

void FakeEngine::loadVersion(std::string model, std::string version)
{
    constexpr TimeMs retryTime { 200 };
    const bool fetched = m_surroundings.weights.tryFetch(loop().now());
    const TimeMs delay = fetched ? m_config.loadTime : retryTime;
    loop().after(delay, [this, alive = m_alive, generation = m_generation, fetched, model = std::move(model), version = std::move(version)] {
        if (!*alive || generation != m_generation)
            return;
        if (!fetched)
            return loadVersion(model, version);
        if (!model.empty())
            mutableIdentity().model = model;
        mutableIdentity().version = version;
    });
}

void FakeEngine::exportCache(const std::shared_ptr<HttpReply>& reply, const Json& body)
{
    for (const auto& [id, call] : m_calls) {
        if (call.callHeader != body["call"].asText())
            continue;
        return answerJson(reply, 200, Json::object({ { "call", body["call"] }, { "tokens", m_model.contextOf(id) }, { "offset", call.offset } }));
    }
    reply->answer(404, {}, fakeErrorBody("unknown_call", "no such call is running"));
}

void FakeEngine::importCache(const std::shared_ptr<HttpReply>& reply, const Json& body)
{
    if (body["call"].asText().empty())
        return reply->answer(400, {}, fakeErrorBody("malformed", "call is missing"));
    m_imported.emplace(body["call"].asText());
    answerJson(reply, 200, Json::object({ { "call", body["call"] } }));
}

void FakeEngine::cacheEvents(const std::shared_ptr<HttpReply>& reply, const HttpRequest& request)
{
    const uint64_t since = numberOf(queryOf(request.target, "since"), 0);
    auto events = Json::array();
    uint64_t next = since;
    for (const auto& it : m_model.events()) {
        if (it.sequence <= since || it.at + m_config.cacheEventDelay > loop().now())
            continue;
        next = it.sequence;
        if (m_surroundings.random.chance(m_config.cacheEventLoss))
            continue;
        char block[17];
        std::snprintf(block, sizeof block, "%016llx", static_cast<unsigned long long>(it.block));
        events.push(Json::object({ { "sequence", it.sequence }, { "kind", it.stored ? "stored" : "evicted" }, { "block", block }, { "tokens", prefixBlockTokens } }));
    }
    answerJson(reply, 200, Json::object({ { "events", events }, { "next", next } }));
}

}
