#include "experiment/Fakes.h"

#include <iostream>

namespace siskinshunt {

Fakes::Fakes(Loop& loop, FakesConfig config)
    : m_loop(loop)
    , m_config(std::move(config))
    , m_fleet(loop, m_config)
    , m_platformOrders(m_config.platform.checksFencing)
{
}

Result<void> Fakes::start()
{
    BOOST_LEAF_CHECK(m_fleet.start());
    BOOST_LEAF_ASSIGN(m_control, HttpServer::listen(m_loop, m_config.control, [this](const auto& request, const auto& reply) { handleControlRequest(request, reply); }));
    if (!m_config.platform.address.empty()) {
        BOOST_LEAF_ASSIGN(m_platform, HttpServer::listen(m_loop, m_config.platform.address, [this](const auto& request, const auto& reply) { handlePlatformRequest(request, reply); }));
    }
    if (!m_config.weights.address.empty()) {
        BOOST_LEAF_ASSIGN(m_weights, HttpServer::listen(m_loop, m_config.weights.address, [this](const auto& request, const auto& reply) { handleWeightsRequest(request, reply); }));
    }
    return {};
}

static Json bodyOf(const HttpRequest& request)
{
    if (request.body.empty())
        return Json::object();
    return handle([&] { return parseJson(request.body, "body"); }, [](const Error&) { return Json(); });
}

void Fakes::handlePlatformRequest(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    constexpr std::string_view prefix = "/instances/";
    const auto path = pathOf(request.target);
    if (request.method == "POST" && path == "/instances")
        return createInstance(bodyOf(request), reply);
    if (request.method == "DELETE" && path.starts_with(prefix)) {
        const std::string id(path.substr(prefix.size()));
        if (!m_fleet.stopInstance(id))
            return reply->answer(404, {}, fakeErrorBody("unknown_instance", id));
        return answerJson(reply, 200, Json::object({ { "id", id } }));
    }
    if (request.method == "GET" && path == "/instances")
        return answerJson(reply, 200, m_fleet.describeInstances());
    if (request.method == "GET" && path == "/prices")
        return answerJson(reply, 200, m_fleet.describePrices());
    if (request.method == "GET" && path == "/notices")
        return answerJson(reply, 200, m_fleet.describeNotices());
    reply->answer(404, {}, fakeErrorBody("unknown_path", path));
}

void Fakes::createInstance(const Json& order, const std::shared_ptr<HttpReply>& reply)
{
    for (const char* key : { "id", "domain", "machine", "kind", "model", "version" }) {
        if (order[key].asText().empty())
            return reply->answer(400, {}, fakeErrorBody("malformed", std::string(key) + " is missing"));
    }
    if (m_platformOrders.checkAndRecord(order) == OrderLog::Verdict::Stale)
        return reply->answer(409, {}, fakeErrorBody("old_fencing_number", "an order with a higher epoch or sequence was accepted"));
    switch (m_fleet.startInstance(order)) {
    case FakeFleet::StartResult::Created:
        return answerJson(reply, 201, Json::object({ { "id", order["id"] }, { "state", "starting" } }));
    case FakeFleet::StartResult::Duplicate:
        return answerJson(reply, 200, Json::object({ { "id", order["id"] }, { "state", "known" } }));
    case FakeFleet::StartResult::Refused:
        return reply->answer(503, {}, fakeErrorBody("no_capacity", "the platform refuses starts in this failure domain"));
    }
}

void Fakes::handleWeightsRequest(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    constexpr std::string_view prefix = "/weights/";
    const auto path = pathOf(request.target);
    if (request.method != "GET" || !path.starts_with(prefix))
        return reply->answer(404, {}, fakeErrorBody("unknown_path", path));
    if (!m_fleet.sharedEngineState().weights.tryFetch(m_loop.now()))
        return reply->answer(429, { { "Retry-After", "1" } }, fakeErrorBody("rate_limited", "the weight store is over its rate"));
    answerJson(reply, 200, Json::object({ { "weights", path.substr(prefix.size()) } }));
}

bool Fakes::readControl(std::string_view path, const std::shared_ptr<HttpReply>& reply)
{
    if (path == "/control/executions")
        answerJson(reply, 200, m_fleet.executions().toJson());
    else if (path == "/control/upstreams")
        answerJson(reply, 200, m_fleet.describeUpstreams());
    else if (path == "/control/cost")
        answerJson(reply, 200, m_fleet.describeCost());
    else
        return false;
    return true;
}

int Fakes::forEachSelected(const Json& order, const std::function<void(FakeUpstream&)>& body)
{
    auto selected = m_fleet.select(order["name"].asText(), order["domain"].asText());
    if (order["only_reclaimable"].asBool())
        std::erase_if(selected, [](const FakeUpstream* it) { return !it->identity().reclaimable; });
    for (auto* it : selected)
        body(*it);
    return static_cast<int>(selected.size());
}

int Fakes::executeControl(std::string_view path, const Json& order)
{
    if (path == "/control/reclaim") {
        // The platform reclaims only the reclaimable instances of a domain; a name or `"all": true` selects any instance.
        auto selection = order;
        selection.set("only_reclaimable", order["name"].asText().empty() && !order["all"].asBool());
        return forEachSelected(selection, [&](FakeUpstream& it) { it.reclaim({ order["notice_ms"].asInt(5000) }); });
    }
    if (path == "/control/kill")
        return forEachSelected(order, [](FakeUpstream& it) { it.stop(); });
    if (path == "/control/restart")
        return m_fleet.restart(std::string(order["name"].asText()), std::string(order["domain"].asText()));
    if (path == "/control/freeze")
        return forEachSelected(order, [](FakeUpstream& it) { it.freezeConnections(); });
    if (path == "/control/drop-answers")
        return forEachSelected(order, [&](FakeUpstream& it) { it.breakAnswers(static_cast<uint32_t>(order["count"].asInt(1)), order["mixed"].asBool()); });
    if (path == "/control/refuse-starts") {
        m_fleet.refuseStarts(std::string(order["domain"].asText()), order["refuse"].asBool(true));
        return 1;
    }
    if (path == "/control/version")
        return m_fleet.sharedEngineState().faults.set(order, m_loop.now()) ? 1 : 0;
    return -1;
}

void Fakes::handleControlRequest(const HttpRequest& request, const std::shared_ptr<HttpReply>& reply)
{
    const auto path = pathOf(request.target);
    if (request.method == "GET" && readControl(path, reply))
        return;
    const int count = request.method == "POST" ? executeControl(path, bodyOf(request)) : -1;
    if (count < 0)
        return reply->answer(404, {}, fakeErrorBody("unknown_path", path));
    if (count == 0)
        return reply->answer(400, {}, fakeErrorBody("nothing_selected", "nothing has this name or domain, nothing of it is down, or the mode is unknown"));
    answerJson(reply, 200, Json::object({ { "affected", count } }));
}

int runFakes(const std::string& file)
{
    return handle(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(json, readJsonFile(file));
            BOOST_LEAF_AUTO(config, parseFakesConfig(json, file));
            Loop loop;
            Fakes fakes(loop, config);
            BOOST_LEAF_CHECK(fakes.start());
            std::cout << "stand-ins ready: " << config.engines.size() << " engines, " << config.services.size() << " services, control " << config.control << std::endl;
            loop.onSignal([&] { loop.stop(); });
            loop.run();
            return 0;
        },
        [](const Error& error) {
            std::cerr << "siskinshuntctl fakes: " << toString(error) << '\n';
            return 2;
        });
}

}
