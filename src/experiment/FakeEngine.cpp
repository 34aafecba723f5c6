#include "experiment/FakeEngine.h"

#include "base/PrefixHash.h"
#include "experiment/Answers.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace siskinshunt {

FakeEngine::FakeEngine(Loop& loop, FakeEngineConfig config, AnnounceOptions options, SharedEngineState& sharedEngineState)
    : FakeUpstream(loop, config.identity, std::move(options))
    , m_config(std::move(config))
    , m_sharedEngineState(sharedEngineState)
    , m_orders(m_config.identity.checksFencing)
{
}

void FakeEngine::ensureEngine()
{
    if (m_engine)
        return;
    auto options = m_config.engine;
    options.seed = m_sharedEngineState.random.next();
    options.startedAt = loop().now();
    m_engine.emplace(std::move(options));
}

UpstreamLoad FakeEngine::load()
{
    ensureEngine();
    // The emulated engine samples its load only when it advances, and nothing else advances an idle engine.
    tick();
    const auto now = siskinshunt::load(*m_engine, loop().now());
    return {
        .running = now.running,
        .waiting = now.waiting,
        .capacity = now.capacity,
        .cachedTokens = now.cachedTokens,
        .waitingTokens = now.waitingTokens,
        .tokensPerSecond = now.tokensPerSecond,
        .prefillTokensPerSecond = now.prefillTokensPerSecond,
    };
}

void FakeEngine::clearState()
{
    ++m_generation;
    m_engine.reset();
    m_orders = OrderLog(m_config.identity.checksFencing);
    m_calls.clear();
    m_importedTokens.clear();
    m_tickAt = farFuture;
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
        return handleCompletion(request, reply, body);
    if (path == "/orders")
        return handleOrder(reply, body);
    if (path == "/kv/export")
        return exportCache(reply, body);
    if (path == "/kv/import")
        return importCache(reply, body);
    reply->answer(404, {}, fakeErrorBody("unknown_path", path));
}

static uint64_t parseNumber(std::string_view text, uint64_t defaultValue)
{
    uint64_t out = defaultValue;
    std::from_chars(text.data(), text.data() + text.size(), out);
    return out;
}

static HttpHeaders echoOf(const HttpRequest& request)
{
    HttpHeaders out;
    for (const char* name : { "Siskinshunt-Call", "Siskinshunt-Attempt" }) {
        if (const auto value = findHeader(request.headers, name); !value.empty())
            out.emplace_back(name, value);
    }
    return out;
}

static uint32_t maxTokensOf(const Json& body)
{
    constexpr int64_t defaultValue = 256;
    const auto& value = body.has("max_completion_tokens") ? body["max_completion_tokens"] : body["max_tokens"];
    return static_cast<uint32_t>(std::clamp<int64_t>(value.asInt(defaultValue), 1, 1000000));
}

void FakeEngine::handleCompletion(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply, const Json& body)
{
    ensureEngine();
    recordCall();
    const auto running = static_cast<uint32_t>(m_engine->running.size()) + 1;
    const auto fault = m_sharedEngineState.faults.find(identity().version, request.target, running, loop().now());
    const auto echo = echoOf(request);
    if (fault.mode == FaultMode::Fail && m_sharedEngineState.random.chance(fault.rate))
        return reply->answer(500, echo, fakeErrorBody("engine_failed", "this version fails"));
    const auto prompt = promptOf(body);
    const auto maxTokens = maxTokensOf(body);
    const auto offset = static_cast<uint32_t>(std::min<uint64_t>(maxTokens, parseNumber(findHeader(request.headers, "Siskinshunt-Offset"), 0)));
    if (const auto& resume = body["resume"]; resume.has("text") && resume["text"].asText() != expectedAnswer(prompt, 0, offset))
        return reply->answer(400, echo, fakeErrorBody("wrong_resume", "resume.text is not the answer up to the offset"));
    const uint64_t id = m_nextCall++;
    auto& call = addCall(id, { .reply = reply, .callHeader = std::string(findHeader(request.headers, "Siskinshunt-Call")), .echo = echo, .hash = promptHash(prompt), .promptTokens = estimateTokens(prompt), .start = offset, .offset = offset, .stream = body["stream"].asBool(), .chat = pathOf(request.target) == "/v1/chat/completions" });
    EngineRequest engineRequest { .priority = static_cast<int>(parseNumber(findHeader(request.headers, "Siskinshunt-Priority"), 5)), .blocks = prefixHashes(prompt), .promptTokens = call.promptTokens, .outputTokens = maxTokens, .offset = offset };
    if (offset < maxTokens && !submitCall(id, call, std::move(engineRequest), fault)) {
        m_calls.erase(id);
        return reply->answer(503, echo, fakeErrorBody("engine_full", "the waiting list of the engine is full"));
    }
    if (call.stream) {
        auto headers = echo;
        headers.emplace_back("Content-Type", "text/event-stream");
        reply->startStream(200, headers);
        keepAlive(id);
    }
    if (offset == maxTokens) {
        auto ended = std::move(call);
        m_calls.erase(id);
        return finish(ended);
    }
    scheduleTick();
}

FakeEngine::Call& FakeEngine::addCall(uint64_t id, Call call)
{
    auto& out = m_calls[id];
    out = std::move(call);
    out.reply->onDisconnect([this, id, alive = m_alive, generation = m_generation] {
        if (!*alive || generation != m_generation)
            return;
        cancel(*m_engine, { id }, loop().now());
        m_calls.erase(id);
    });
    return out;
}

bool FakeEngine::submitCall(uint64_t id, const Call& call, EngineRequest engineRequest, const FakeVersionFault& fault)
{
    engineRequest.call = { id };
    if (const auto it = m_importedTokens.find(call.callHeader); it != m_importedTokens.end()) {
        engineRequest.importedTokens = it->second;
        m_importedTokens.erase(it);
    }
    if (fault.mode == FaultMode::Slow) {
        engineRequest.route = "slow";
        m_engine->options.faults = { EngineFault { .route = "slow", .slowdown = fault.factor } };
    }
    return submit(*m_engine, std::move(engineRequest), loop().now()) == SubmitResult::Accepted;
}

void FakeEngine::keepAlive(uint64_t id)
{
    if (m_config.keepAlive.value == 0)
        return;
    loop().after(m_config.keepAlive, [this, id, alive = m_alive, generation = m_generation] {
        if (!*alive || generation != m_generation)
            return;
        const auto it = m_calls.find(id);
        if (it == m_calls.end() || it->second.offset != it->second.start)
            return;
        it->second.reply->write(": waiting\n\n");
        keepAlive(id);
    });
}

void FakeEngine::scheduleTick()
{
    const auto now = loop().now();
    const auto at = std::max(nextEventAt(*m_engine), now + TimeMs { 1 });
    if (at >= farFuture || m_tickAt <= at)
        return;
    m_tickAt = at;
    loop().after(at - now, [this, at, alive = m_alive, generation = m_generation] {
        if (!*alive || generation != m_generation || m_tickAt != at)
            return;
        m_tickAt = farFuture;
        tick();
    });
}

void FakeEngine::tick()
{
    for (const auto& event : advance(*m_engine, loop().now()))
        handleEvent(event);
    scheduleTick();
}

void FakeEngine::handleEvent(const EngineEvent& event)
{
    const auto it = m_calls.find(event.call.value);
    if (it == m_calls.end())
        return;
    auto& call = it->second;
    if (event.kind == EngineEventKind::FirstToken) {
        call.cached = event.cachedTokens;
        m_totals.prefilledTokens += event.computedTokens;
        m_totals.cachedTokens += event.cachedTokens;
        m_totals.resumedTokens += call.start ? event.computedTokens : 0;
    }
    emitTokens(call, event.offset);
    if (event.kind != EngineEventKind::Done)
        return;
    auto ended = std::move(call);
    m_calls.erase(it);
    finish(ended);
}

Json FakeEngine::usage(const Call& call)
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

void FakeEngine::emitTokens(Call& call, uint32_t offset)
{
    std::string events;
    while (call.offset < offset) {
        const auto token = answerToken(call.hash, call.offset++);
        ++m_totals.decodedTokens;
        if (call.stream)
            events += "id: " + std::to_string(call.offset) + "\ndata: " + toText(chunk(call, token, false)) + "\n\n";
        else
            call.text += token;
    }
    call.reply->write(events);
}

void FakeEngine::finish(Call& call)
{
    if (const auto way = consumeBrokenAnswer())
        return breakAnswer(*call.reply, *way);
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

void FakeEngine::handleOrder(const std::shared_ptr<HttpReply>& reply, const Json& body)
{
    switch (m_orders.checkAndRecord(body)) {
    case OrderLog::Verdict::Stale:
        return reply->answer(409, {}, fakeErrorBody("old_fencing_number", "an order with a higher epoch or sequence was accepted"));
    case OrderLog::Verdict::Duplicate:
        return answerJson(reply, 200, Json::object({ { "id", body["id"] }, { "known", true } }));
    case OrderLog::Verdict::Accepted:
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
    const bool fetched = m_sharedEngineState.weights.tryFetch(loop().now());
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
    const auto it = std::find_if(m_calls.begin(), m_calls.end(), [&](const auto& entry) { return entry.second.callHeader == body["call"].asText(); });
    if (it == m_calls.end())
        return reply->answer(404, {}, fakeErrorBody("unknown_call", "no such call is running"));
    const auto exported = exportKv(*m_engine, { it->first }, loop().now());
    if (!exported)
        return reply->answer(409, {}, fakeErrorBody("in_prefill", "the call is not past its prefill"));
    auto call = std::move(it->second);
    m_calls.erase(it);
    const auto answer = Json::object({ { "call", body["call"] }, { "tokens", exported->tokens }, { "offset", exported->offset } });
    if (call.stream) {
        call.reply->write("event: error\ndata: " + fakeErrorBody("exported", "the KV cache of this call was exported") + "\n\n");
        call.reply->finish();
    } else {
        call.reply->answer(409, call.echo, fakeErrorBody("exported", "the KV cache of this call was exported"));
    }
    loop().after(exported->readyAt - loop().now(), [reply, answer] { answerJson(reply, 200, answer); });
}

void FakeEngine::importCache(const std::shared_ptr<HttpReply>& reply, const Json& body)
{
    if (body["call"].asText().empty())
        return reply->answer(400, {}, fakeErrorBody("malformed", "call is missing"));
    m_importedTokens[std::string(body["call"].asText())] = static_cast<uint32_t>(body["tokens"].asInt(INT32_MAX));
    answerJson(reply, 200, Json::object({ { "call", body["call"] } }));
}

void FakeEngine::cacheEvents(const std::shared_ptr<HttpReply>& reply, const HttpRequest& request)
{
    ensureEngine();
    uint64_t next = parseNumber(queryValue(request.target, "since"), 0);
    auto events = Json::array();
    tick();
    for (const auto& it : siskinshunt::cacheEvents(*m_engine, next)) {
        next = it.sequence;
        char block[17];
        std::snprintf(block, sizeof block, "%016llx", static_cast<unsigned long long>(it.block));
        events.push(Json::object({ { "sequence", it.sequence }, { "kind", it.added ? "stored" : "evicted" }, { "block", block }, { "tokens", prefixBlockTokens } }));
    }
    answerJson(reply, 200, Json::object({ { "events", events }, { "next", next } }));
}

}
