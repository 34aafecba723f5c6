#include "control/DecisionLog.h"
#include "node/Groups.h"
#include "node/NodeState.h"
#include "wire/Codec.h"

#include <algorithm>
#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>
#include <limits>

using namespace siskinshunt;

namespace {

const std::string platformAddress = "127.0.0.9:9901";
const std::vector<std::string> domains { "d1", "d2", "d3" };

/// Simulated platform: starts the requested instances, which announce themselves after the start time.
struct Platform {
    struct Instance {
        std::string domain;
        std::string kind;
        TimeMs startedAt;
        bool stopped = false;
        std::optional<TimeMs> reclaimAt;
    };
    struct Received {
        TimeMs at;
        std::string method;
        std::string id;
        int64_t epoch = 0;
    };

    std::map<std::string, Instance> instances;
    std::vector<Received> orders;
    std::set<std::string> refused; ///< "DOMAIN/KIND".
    std::set<std::string> silentDomains; ///< Instances started there never announce themselves.
    bool refusesConnections = false; ///< Connections for orders fail before a byte is sent.
    bool loseAnswers = false; ///< Executes orders without answering.
    TimeMs startTime { 20000 };
    int created = 0;

    bool isAnnouncing(const Instance& it, TimeMs now) const
    {
        return !it.stopped && !silentDomains.contains(it.domain) && now - it.startedAt >= startTime && (!it.reclaimAt || now < *it.reclaimAt);
    }

    bool isGone(const Instance& it, TimeMs now) const { return it.stopped || (it.reclaimAt && now >= *it.reclaimAt); }

    std::string list(TimeMs now) const
    {
        boost::json::array out;
        for (const auto& [id, it] : instances) {
            const char* state = isGone(it, now) ? "stopped" : now - it.startedAt < startTime ? "starting"
                                                                                             : "running";
            out.push_back(boost::json::object { { "id", id }, { "domain", it.domain }, { "machine", "gpu" }, { "kind", it.kind }, { "state", state }, { "model", "m" }, { "version", "v1" } });
        }
        return boost::json::serialize(boost::json::object { { "instances", out } });
    }

    std::string notices(TimeMs now) const
    {
        boost::json::array out;
        for (const auto& [id, it] : instances) {
            if (it.reclaimAt && !isGone(it, now))
                out.push_back(boost::json::object { { "id", id }, { "domain", it.domain }, { "reclaim_in_ms", (*it.reclaimAt - now).value } });
        }
        return boost::json::serialize(boost::json::object { { "notices", out } });
    }

    static std::string prices()
    {
        boost::json::array out;
        for (const auto& domain : domains) {
            out.push_back(boost::json::object { { "domain", domain }, { "machine", "gpu" }, { "kind", "reclaimable" }, { "per_hour", 1.0 } });
            out.push_back(boost::json::object { { "domain", domain }, { "machine", "gpu" }, { "kind", "on-demand" }, { "per_hour", 3.0 } });
        }
        return boost::json::serialize(boost::json::object { { "prices", out } });
    }

    uint16_t start(const boost::json::object& order, TimeMs now)
    {
        const std::string id(order.at("id").as_string());
        if (instances.contains(id))
            return 200;
        const std::string domain(order.at("domain").as_string());
        const std::string kind(order.at("kind").as_string());
        if (refused.contains(domain + "/" + kind))
            return 503;
        instances[id] = { domain, kind, now, false, {} };
        ++created;
        return 201;
    }

    uint16_t answer(const HttpRequest& request, TimeMs now, std::string& body)
    {
        if (request.method == "GET") {
            body = request.target == "/instances" ? list(now) : request.target == "/notices" ? notices(now)
                                                                                             : prices();
            return 200;
        }
        const auto order = boost::json::parse(request.body).as_object();
        const std::string id(order.at("id").as_string());
        orders.push_back({ now, request.method, id, order.at("epoch").as_int64() });
        if (request.method == "POST")
            return start(order, now);
        if (!instances.contains(id))
            return 404;
        instances[id].stopped = true;
        return 200;
    }
};

/// One voter with its disk and the simulated platform, in virtual time.
struct Fleet {
    static constexpr TimeMs stepTime { 50 };

    Platform platform;
    NodePtr node;
    Settings settings;
    std::map<GroupId, GroupState> disk;
    Inputs next;
    TimeMs now { 1780000000000 };
    TimeMs nextAnnounce;
    std::vector<LogRecord> log;
    std::vector<std::pair<std::string, TimeMs>> logTimes; ///< Code and time.
    std::vector<std::string> runners; ///< Announce themselves but are not in the platform's list; "NAME DOMAIN".

    explicit Fleet(bool checksFencing = true)
    {
        settings.node = "entry-1";
        settings.cluster = "test";
        settings.failureDomain = "d1";
        settings.http = { "127.0.0.1", 8080 };
        settings.peer = { "127.0.0.1", 7000 };
        settings.peerKey = std::string(32, 'k');
        settings.dataFolder = "data";
        settings.ledgerGroups = 1;
        settings.platform = { platformAddress, checksFencing };
        start();
        handle([&]() -> Result<bool> { BOOST_LEAF_CHECK(bootstrapGroups(*node, { "entry-1" })); return true; }, [](const Error& error) { BOOST_FAIL(toString(error)); return false; });
    }

    void start()
    {
        NodeOptions options { .settings = settings, .startedAtUtc = now, .seed = 7, .voter = VoterId { 1 }, .recovered = disk };
        node = handle([&]() -> Result<NodePtr> { return makeNode(std::move(options), now); }, [](const Error& error) { BOOST_FAIL(toString(error)); return NodePtr {}; });
    }

    /// Kills the process and restarts it from its disk; messages in flight are lost.
    void restart()
    {
        node.reset();
        next = Inputs {};
        now += 1_s;
        start();
    }

    void store(const DiskRequest& request)
    {
        auto& state = disk[request.group];
        if (request.hardState)
            state.hardState = *request.hardState;
        if (request.snapshot) {
            state.snapshot = *request.snapshot;
            std::erase_if(state.entries, [&](const LogEntry& it) { return request.discardLog || it.index <= request.snapshot->meta.index; });
        }
        for (const auto& entry : request.entries) {
            std::erase_if(state.entries, [&](const LogEntry& it) { return it.index >= entry.index; });
            state.entries.push_back(entry);
        }
        next.completions.push_back({ request.group, request.id, true, {} });
    }

    void deliver(const UpstreamDispatch& dispatch)
    {
        const bool order = dispatch.request.method != "GET";
        if (dispatch.address != platformAddress || (order && platform.refusesConnections)) {
            next.events.push_back({ .dispatch = dispatch.dispatch, .kind = UpstreamEventKind::Failed, .status = 0, .headers = {}, .bytes = {}, .failure = UpstreamFailure::ConnectFailed, .detail = {} });
            return;
        }
        std::string body;
        const uint16_t status = platform.answer(dispatch.request, now, body);
        if (order && platform.loseAnswers)
            return;
        next.events.push_back({ .dispatch = dispatch.dispatch, .kind = UpstreamEventKind::Sending });
        next.events.push_back({ .dispatch = dispatch.dispatch, .kind = UpstreamEventKind::Head, .status = status });
        next.events.push_back({ .dispatch = dispatch.dispatch, .kind = UpstreamEventKind::Body, .status = 0, .headers = {}, .bytes = body });
        next.events.push_back({ .dispatch = dispatch.dispatch, .kind = UpstreamEventKind::End });
    }

    void announceOne(const std::string& name, const std::string& domain, bool reclaimable)
    {
        Announcement it { .name = name, .address = "127.0.0.8:9000", .domain = domain, .machine = "gpu", .model = "m", .version = "v1", .reclaimable = reclaimable };
        it.incarnation = 1;
        it.sequence = static_cast<uint64_t>(now.value);
        it.load = { .capacity = 8, .tokensPerSecond = 100, .prefillTokensPerSecond = 10000 };
        announce(node->membership, now, it, node->membershipOutputs);
    }

    void announceAll()
    {
        if (now < nextAnnounce)
            return;
        nextAnnounce = now + 1_s;
        for (const auto& it : runners)
            announceOne(it.substr(0, it.find(' ')), it.substr(it.find(' ') + 1), true);
        for (const auto& [id, it] : platform.instances) {
            if (platform.isAnnouncing(it, now))
                announceOne(id, it.domain, it.kind == "reclaimable");
        }
    }

    void stepOnce()
    {
        now += stepTime;
        announceAll();
        Outputs out;
        Inputs inputs;
        std::swap(inputs, next);
        step(*node, now, std::move(inputs), out);
        for (const auto& request : out.disk)
            store(request);
        for (const auto& dispatch : out.dispatches)
            deliver(dispatch);
        for (auto& record : out.log) {
            logTimes.emplace_back(record.code, now);
            log.push_back(std::move(record));
        }
    }

    void run(TimeMs duration)
    {
        for (const TimeMs end = now + duration; now < end;)
            stepOnce();
    }

    template <class Condition>
    bool runUntil(TimeMs timeout, Condition&& condition)
    {
        for (const TimeMs end = now + timeout; now < end;) {
            stepOnce();
            if (condition())
                return true;
        }
        return false;
    }

    void applyRules(int min)
    {
        std::string text = "version m-v1 model=m version=v1 # Omar: in service\n";
        for (const auto& domain : domains)
            text.append("instances ").append(domain).append(" domain=").append(domain).append(" machine=gpu model=m min=").append(std::to_string(min)).append(" max=6 # Sana: agreed ceiling\n");
        BOOST_REQUIRE(runUntil(10_s, [&] { return node->leadsDecisions && node->leader.epoch; }));
        proposeCommand(*node, decisionGroup, encodeControlCommand(ApplyRules { .requestId = "first", .expectedRevision = 0, .text = text, .operatorName = "oncall", .now = now }), 5_s, [](Node&, bool, const std::string&) {});
        BOOST_REQUIRE(runUntil(10_s, [&] { return node->rules != nullptr; }));
    }

    int serving(const std::string& domain, const std::string& kind = {}) const
    {
        return static_cast<int>(std::count_if(platform.instances.begin(), platform.instances.end(), [&](const auto& entry) {
            return entry.second.domain == domain && (kind.empty() || entry.second.kind == kind) && platform.isAnnouncing(entry.second, now);
        }));
    }

    size_t openCount() const { return openIntents(node->decisionLog).size(); }
    size_t orderCount(const std::string& method) const
    {
        return static_cast<size_t>(std::count_if(platform.orders.begin(), platform.orders.end(), [&](const auto& it) { return it.method == method; }));
    }

    const LogRecord* logged(const std::string& code) const
    {
        const auto it = std::find_if(log.begin(), log.end(), [&](const auto& record) { return record.code == code; });
        return it == log.end() ? nullptr : &*it;
    }
};

std::string fieldOf(const LogRecord* record, const std::string& name)
{
    if (!record)
        return "no such record";
    const auto it = std::find_if(record->fields.begin(), record->fields.end(), [&](const auto& field) { return field.first == name; });
    return it == record->fields.end() ? "no such field" : it->second;
}

}

// Guards against duplicate start orders, intents that stay open, and log records that do not name the rule.
BOOST_AUTO_TEST_CASE(minimumsAreStartedOnceAndConfirmed)
{
    Fleet fleet;
    fleet.applyRules(1);
    fleet.run(3_min);
    for (const auto& domain : domains)
        BOOST_TEST(fleet.serving(domain) == 1);
    BOOST_TEST(fleet.platform.created == 3);
    BOOST_TEST(fleet.orderCount("POST") == 3U);
    BOOST_TEST(fleet.orderCount("DELETE") == 0U);
    BOOST_TEST(fleet.openCount() == 0U);
    BOOST_TEST(fieldOf(fleet.logged("instance_start_ordered"), "asked_by") == "Sana");
    BOOST_TEST(fieldOf(fleet.logged("instance_start_ordered"), "rule_line") == "2");
    BOOST_TEST(fieldOf(fleet.logged("instance_started"), "asked_by") == "Sana");
}

// Guards against a refused start that is retried in the same domain forever or replaced twice.
BOOST_AUTO_TEST_CASE(refusedStartsGoElsewhere)
{
    Fleet fleet;
    fleet.platform.refused = { "d2/reclaimable" };
    fleet.applyRules(1);
    fleet.run(3_min);
    BOOST_TEST(fleet.serving("d2", "on-demand") == 1);
    BOOST_TEST(fleet.platform.created == 3);
    BOOST_TEST(fleet.openCount() == 0U);
    BOOST_REQUIRE(fleet.logged("instance_start_refused"));
    BOOST_TEST(fieldOf(fleet.logged("instance_start_refused"), "domain") == "d2");
}

// Guards against paying for an instance that never serves, with or without a replacement running.
BOOST_AUTO_TEST_CASE(silentStartsAreStoppedAndReplaced)
{
    Fleet fleet;
    fleet.platform.silentDomains = { "d3" };
    fleet.applyRules(1);
    BOOST_REQUIRE(fleet.runUntil(5_min, [&] { return fleet.logged("instance_stopped") != nullptr; }));
    BOOST_TEST(fleet.logged("instance_start_late"));
    BOOST_TEST(fleet.logged("instance_start_given_up"));
    fleet.platform.silentDomains.clear();
    fleet.run(3_min);
    const auto live = std::count_if(fleet.platform.instances.begin(), fleet.platform.instances.end(), [](const auto& it) { return it.second.domain == "d3" && !it.second.stopped; });
    BOOST_TEST(live == 1);
    BOOST_TEST(fleet.serving("d3") == 1);
    BOOST_TEST(fleet.openCount() == 0U);
}

// Guards against a new leader that loses or duplicates intents that the previous leader recorded but did not order.
BOOST_AUTO_TEST_CASE(recordedIntentsSurviveARestart)
{
    Fleet fleet;
    fleet.platform.refusesConnections = true;
    fleet.applyRules(1);
    BOOST_REQUIRE(fleet.runUntil(1_min, [&] { return fleet.openCount() == 3; }));
    const auto before = openIntents(fleet.node->decisionLog);
    fleet.restart();
    fleet.platform.refusesConnections = false;
    fleet.run(3_min);
    BOOST_TEST(fleet.platform.created == 3);
    for (const auto& intent : before)
        BOOST_TEST(fleet.platform.instances.contains(intent.id));
    BOOST_TEST(fleet.openCount() == 0U);
}

// Guards against a duplicate instance when the platform executed an order but the previous leader got no answer.
BOOST_AUTO_TEST_CASE(executedOrdersAreNotRepeatedAfterARestart)
{
    Fleet fleet;
    fleet.platform.loseAnswers = true;
    fleet.applyRules(1);
    BOOST_REQUIRE(fleet.runUntil(1_min, [&] { return fleet.platform.created == 3; }));
    fleet.restart();
    fleet.platform.loseAnswers = false;
    fleet.run(3_min);
    BOOST_TEST(fleet.platform.created == 3);
    BOOST_TEST(fleet.openCount() == 0U);
    for (const auto& domain : domains)
        BOOST_TEST(fleet.serving(domain) == 1);
}

// Guards against reordered orders of two leaders at a platform that ignores fencing numbers.
BOOST_AUTO_TEST_CASE(ordersWaitForAPlatformWithoutFencing)
{
    Fleet fleet(false);
    fleet.platform.refusesConnections = true;
    fleet.applyRules(1);
    BOOST_REQUIRE(fleet.runUntil(1_min, [&] { return fleet.openCount() == 3; }));
    fleet.restart();
    fleet.platform.refusesConnections = false;
    fleet.platform.orders.clear();
    fleet.logTimes.clear();
    fleet.run(2_min);
    const auto epochTaken = std::find_if(fleet.logTimes.begin(), fleet.logTimes.end(), [](const auto& it) { return it.first == "epoch_taken"; });
    BOOST_REQUIRE(epochTaken != fleet.logTimes.end());
    BOOST_REQUIRE(!fleet.platform.orders.empty());
    const TimeMs wait = fencingWait(fleet.node->leader.orders.settings);
    BOOST_TEST((fleet.platform.orders.front().at - epochTaken->second).value >= wait.value);
    BOOST_TEST((fleet.platform.orders.front().at - epochTaken->second).value <= (wait + 2_s).value);
    BOOST_TEST(fleet.platform.created == 3);
}

// Guards against counting instances with a reclaim notice as capacity until they are gone, and against stopping healthy
// instances.
BOOST_AUTO_TEST_CASE(aReclaimedDomainIsReplaced)
{
    Fleet fleet;
    fleet.applyRules(2);
    fleet.run(3_min);
    BOOST_REQUIRE_EQUAL(fleet.platform.created, 6);
    const TimeMs noticed = fleet.now;
    for (auto& [id, it] : fleet.platform.instances) {
        if (it.domain == "d1")
            it.reclaimAt = fleet.now + 30_s;
    }
    BOOST_REQUIRE(fleet.runUntil(1_min, [&] { return fleet.platform.created == 8; }));
    BOOST_TEST((fleet.now - noticed).value <= 6000);
    fleet.run(2_min);
    for (const auto& domain : domains)
        BOOST_TEST(fleet.serving(domain) == 2);
    BOOST_TEST(fleet.platform.created == 8);
    BOOST_TEST(fleet.orderCount("DELETE") == 0U);
}

// Guards against a plan that ignores demand reported by other nodes, and against invalid values that corrupt it.
BOOST_AUTO_TEST_CASE(demandOfOtherNodesIsCovered)
{
    Fleet fleet;
    fleet.applyRules(1);
    fleet.run(2_min);
    BOOST_REQUIRE_EQUAL(fleet.platform.created, 3);
    const auto report = [&](double tokens) {
        receiveDemand(*fleet.node, NodeId { 9 }, encode(DemandFrame { { { "m", "crew", 10, tokens, 1000 } } }));
    };
    for (int n = 0; n < 180; ++n) {
        report(2000);
        report(std::numeric_limits<double>::quiet_NaN());
        report(-1);
        fleet.run(1_s);
    }
    // 8 slots at 100 tokens/s give 800 tokens/s: 2000 / 0.8 / 800 needs 4 instances after the loss of any domain, so 2 per
    // domain.
    for (const auto& domain : domains)
        BOOST_TEST(fleet.serving(domain) == 2);
    BOOST_TEST(fleet.platform.created == 6);
}

// Guards against needless orders for a fleet that satisfies the rules, and against stopping instances that the platform
// does not list: ten minutes exceed the time that a surplus must last before it is stopped.
BOOST_AUTO_TEST_CASE(aSatisfiedFleetGetsNoOrders)
{
    Fleet fleet;
    for (const auto& domain : domains) {
        for (const char* name : { "a", "b", "c" })
            fleet.runners.push_back(std::string(domain).append(name).append(" ").append(domain));
    }
    fleet.run(3_s);
    fleet.applyRules(2);
    fleet.run(10_min);
    BOOST_TEST(fleet.platform.orders.size() == 0U);
    BOOST_TEST(fleet.node->decisionLog.intents.size() == 0U);
}
