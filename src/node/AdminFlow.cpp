#include "node/AdminFlow.h"

#include "node/Answers.h"
#include "node/ControlFlow.h"
#include "node/ExplainFlow.h"
#include "node/FleetFlow.h"
#include "node/Groups.h"
#include "node/LeaderFlow.h"
#include "node/RouteExplanation.h"
#include "node/VoterRepair.h"
#include "rules/RuleMatch.h"
#include "rules/RuleParser.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

namespace json = boost::json;

static constexpr TimeMs applyTimeout { 5000 };
static constexpr TimeMs applyRetryAfter { 1000 };
// Time to wait until a committed revision is in force on this node; the operator is answered after it in any case.
static constexpr TimeMs inForceTimeout { 2000 };
static constexpr size_t maxRequestIdBytes = 128;

static std::string nodeName(const Node& node, NodeId id)
{
    if (id == node.self)
        return node.options.settings.node;
    const Member* member = findMember(node.membership, id);
    return member ? member->identity.name : std::string {};
}

// Returns the live nodes that have not confirmed this rules revision.
static json::array missingNodes(const Node& node, uint64_t revision)
{
    json::array out;
    for (const NodeId id : liveMembers(node.membership)) {
        const Member* member = findMember(node.membership, id);
        const uint64_t confirmed = id == node.self ? node.view.rules.revision : member ? member->status.rulesRevision
                                                                                       : 0;
        if (confirmed < revision)
            out.emplace_back(nodeName(node, id));
    }
    return out;
}

static void showRules(Node& node, const RequestArrived& arrived)
{
    const auto& rules = node.view.rules;
    const auto missing = missingNodes(node, rules.revision);
    json::object body { { "revision", rules.revision }, { "operator", rules.operatorName }, { "request_id", rules.requestId }, { "applied_at_ms", rules.at.value },
        { "text", rules.text }, { "in_force_everywhere", rules.revision != 0 && missing.empty() }, { "missing", missing } };
    const auto requested = queryValue(arrived.request.target, "revision");
    if (!requested.empty()) {
        const auto* stored = findRevision(node.decisionLog, std::strtoull(requested.c_str(), nullptr, 10));
        if (!stored || stored->text.empty())
            return refuseRequest(node, arrived.exchange, RefusalCode::UnknownRoute, "this node keeps no text of that revision; ask a voter for one of the last 50");
        body = { { "revision", stored->revision }, { "operator", stored->operatorName }, { "request_id", stored->requestId }, { "applied_at_ms", stored->at.value }, { "text", stored->text } };
    }
    answerJson(node, arrived.exchange, 200, json::serialize(body));
}

static void showHistory(Node& node, const RequestArrived& arrived)
{
    static constexpr size_t maxHistoryEntries = 200;
    json::array revisions;
    const auto& history = node.decisionLog.history;
    for (size_t n = history.size() > maxHistoryEntries ? history.size() - maxHistoryEntries : 0; n < history.size(); ++n) {
        const auto& it = history[n];
        revisions.push_back(json::object { { "revision", it.revision }, { "operator", it.operatorName }, { "request_id", it.requestId }, { "applied_at_ms", it.at.value }, { "sha256", it.textDigest } });
    }
    answerJson(node, arrived.exchange, 200, json::serialize(json::object { { "revisions", revisions } }));
}

namespace {

    struct ApplyRequest {
        std::string requestId;
        uint64_t expected = 0;
        std::string text;
    };

}

static std::optional<ApplyRequest> parseApplyRequest(const std::string& body, std::string& problem)
{
    json::error_code ec;
    const auto root = json::parse(body, ec);
    const auto* object = ec ? nullptr : root.if_object();
    const auto* id = object ? object->if_contains("request_id") : nullptr;
    const auto* expected = object ? object->if_contains("expected_revision") : nullptr;
    const auto* text = object ? object->if_contains("text") : nullptr;
    if (!object)
        problem = "the body is not a JSON object";
    else if (!id || !id->is_string() || id->get_string().empty() || id->get_string().size() > maxRequestIdBytes)
        problem = "\"request_id\": expected a string of 1 to 128 bytes";
    else if (!expected || !expected->is_int64() || expected->get_int64() < 0)
        problem = "\"expected_revision\": expected a whole number, not negative";
    else if (!text || !text->is_string())
        problem = "\"text\": expected a string";
    if (!problem.empty())
        return std::nullopt;
    return ApplyRequest { std::string(id->get_string()), static_cast<uint64_t>(expected->get_int64()), std::string(text->get_string()) };
}

static void answerRuleProblems(Node& node, ExchangeId exchange, const std::vector<RuleProblem>& problems)
{
    json::array list;
    for (const auto& it : problems)
        list.push_back(json::object { { "line", it.line }, { "column", it.column }, { "message", it.message } });
    const json::object error { { "code", nameOf(RefusalCode::InvalidRules) }, { "message", toString(problems.front(), "rules") }, { "run", "not-run" }, { "problems", list } };
    answerJson(node, exchange, 400, json::serialize(json::object { { "error", error } }));
}

void tickApplies(Node& node)
{
    std::erase_if(node.pendingApplies, [&](const PendingApply& it) {
        if (node.view.rules.revision < it.revision && node.now < it.until)
            return false;
        answerJson(node, it.exchange, 200, json::serialize(json::object { { "applied", true }, { "revision", it.revision } }));
        return true;
    });
}

static void handleApplyReply(Node& node, ExchangeId exchange, bool applied, const std::string& bytes)
{
    const auto reply = applied ? decodeControlReply(bytes) : std::nullopt;
    if (!reply)
        return answerRefusal(node, exchange, { RefusalCode::Unavailable, RunStatus::Unknown, "no quorum answered in time; send the same request id again", {}, applyRetryAfter });
    if (reply->outcome == ControlOutcome::Accepted) {
        node.pendingApplies.push_back({ exchange, reply->revision, node.now + inForceTimeout });
        return tickApplies(node);
    }
    if (reply->outcome != ControlOutcome::Conflict)
        return refuseRequest(node, exchange, RefusalCode::InvalidRules, reply->detail.empty() ? std::string(nameOf(reply->outcome)) : reply->detail);
    const std::string message = "revision " + std::to_string(reply->revision) + " by " + reply->winner + " is in force" + (reply->detail.empty() ? "" : "; " + reply->detail);
    const json::object error { { "code", nameOf(RefusalCode::Conflict) }, { "message", message }, { "run", "not-run" }, { "revision", reply->revision }, { "winner", reply->winner }, { "won_at_ms", reply->wonAt.value } };
    answerJson(node, exchange, 409, json::serialize(json::object { { "error", error } }));
}

static void applyRules(Node& node, const RequestArrived& arrived, const std::string& operatorName)
{
    std::string problem;
    const auto request = parseApplyRequest(arrived.request.body, problem);
    if (!request)
        return refuseRequest(node, arrived.exchange, RefusalCode::MalformedRequest, problem);
    const auto parsed = parseRules(request->text);
    if (!parsed.problems.empty())
        return answerRuleProblems(node, arrived.exchange, parsed.problems);
    const ApplyRules command { .requestId = request->requestId, .expectedRevision = request->expected, .text = request->text, .operatorName = operatorName, .now = node.now };
    const ExchangeId exchange = arrived.exchange;
    proposeCommand(node, decisionGroup, encodeControlCommand(command), applyTimeout, [exchange](Node& node, bool applied, const std::string& reply) {
        handleApplyReply(node, exchange, applied, reply);
    });
}

static json::array groupsJson(const Node& node)
{
    json::array out;
    for (const auto& [id, group] : node.groups) {
        const auto state = status(*group.replica);
        json::array voters;
        for (const VoterId voter : state.voters)
            voters.push_back(json::object { { "voter", formatCallId(CallId { voter.value }) }, { "node", nodeName(node, nodeOfVoter(node, voter)) } });
        json::array members;
        for (const auto& it : state.members)
            members.push_back(json::object { { "node", nodeName(node, nodeOfVoter(node, it.voter)) }, { "learner", it.learner }, { "lag", it.lag } });
        out.push_back(json::object { { "group", id.value }, { "kind", group.ledger ? "ledger" : "decisions" }, { "role", nameOf(state.role) }, { "term", state.term },
            { "leader", nodeName(node, nodeOfVoter(node, state.leader)) }, { "commit", state.commit }, { "applied", state.applied }, { "voters", voters }, { "majority_alive", group.repair.majorityAlive }, { "followers", members }, { "failure", state.failure } });
    }
    return out;
}

static void showStatus(Node& node, const RequestArrived& arrived)
{
    json::array members;
    for (const auto& [id, member] : node.membership.members) {
        members.push_back(json::object { { "node", member.identity.name }, { "domain", member.identity.domain }, { "state", nameOf(member.status.state) }, { "http", member.identity.httpAddress },
            { "rules_revision", member.status.rulesRevision }, { "draining", member.status.draining }, { "voter", static_cast<bool>(member.status.voter) } });
    }
    std::sort(members.begin(), members.end(), [](const auto& a, const auto& b) { return a.at("node").as_string() < b.at("node").as_string(); });
    const json::object body { { "node", node.options.settings.node }, { "domain", node.options.settings.failureDomain }, { "http", toString(node.options.settings.http) }, { "draining", node.draining },
        { "rules_revision", node.view.rules.revision }, { "decision_leader", nodeName(node, decisionLeader(node)) }, { "epoch", node.view.epoch }, { "calls_in_flight", node.calls.size() },
        { "queued_bytes", node.queuedBytes }, { "members", members }, { "groups", groupsJson(node) } };
    answerJson(node, arrived.exchange, 200, json::serialize(body));
}

static void showUpstreams(Node& node, const RequestArrived& arrived)
{
    std::vector<const Upstream*> sorted;
    for (const auto& [id, upstream] : node.membership.upstreams.entries)
        sorted.push_back(&upstream);
    std::sort(sorted.begin(), sorted.end(), [](const auto* a, const auto* b) { return a->announced.name < b->announced.name; });
    json::array list;
    for (const auto* it : sorted) {
        const auto& announced = it->announced;
        json::object row { { "id", announced.name }, { "address", announced.address }, { "domain", announced.domain }, { "machine", announced.machine }, { "kind", nameOf(announced.kind) },
            { "model", announced.model }, { "version", announced.version }, { "takes_work", isNewWorkAllowed(node, *it) }, { "health", nameOf(healthOf(node.router, it->id, node.now)) },
            { "running", announced.load.running }, { "waiting", announced.load.waiting }, { "capacity", announced.load.capacity }, { "checks_fencing", announced.checksFencing }, { "last_seen_ms", (node.now - it->lastSeen).value } };
        row["reclaim_in_ms"] = it->reclaimAt ? json::value((*it->reclaimAt - node.now).value) : json::value(nullptr);
        list.push_back(std::move(row));
    }
    answerJson(node, arrived.exchange, 200, json::serialize(json::object { { "upstreams", list } }));
}

static void showMoves(Node& node, const RequestArrived& arrived)
{
    json::array list;
    for (const auto& move : node.view.moves) {
        json::array shares;
        for (const auto& route : move.shares)
            shares.push_back(json::object { { "route", route.route }, { "share", route.share } });
        json::array waiting;
        const auto committed = node.directives.find(move.move);
        for (const NodeId id : liveMembers(node.membership)) {
            const Member* member = findMember(node.membership, id);
            const uint64_t index = id == node.self ? node.view.index : member ? member->status.directive
                                                                              : 0;
            if (committed != node.directives.end() && index < committed->second.index)
                waiting.emplace_back(nodeName(node, id));
        }
        list.push_back(json::object { { "move", move.move }, { "model", move.model }, { "from", move.from }, { "to", move.to }, { "stage", nameOf(move.stage) }, { "reason", move.reason }, { "code", move.code },
            { "shares", shares }, { "since_ms", move.since.value }, { "waiting_on", waiting }, { "rule_line", move.line }, { "asked_by", move.person }, { "asked_for", move.ruleReason } });
    }
    answerJson(node, arrived.exchange, 200, json::serialize(json::object { { "moves", list } }));
}

static void answerEvacuationOrder(Node& node, const EvacuationOrder& order, const std::optional<ControlReply>& reply, const std::string& problem)
{
    if (!reply)
        return answerRefusal(node, order.exchange, { RefusalCode::Unavailable, RunStatus::Unknown, problem, {}, applyRetryAfter });
    if (reply->outcome == ControlOutcome::Malformed)
        return refuseRequest(node, order.exchange, RefusalCode::MalformedRequest, reply->detail);
    if (reply->outcome != ControlOutcome::Accepted)
        return refuseRequest(node, order.exchange, RefusalCode::Conflict, reply->detail);
    answerJson(node, order.exchange, 200, json::serialize(json::object { { "domain", order.domain }, { "evacuated", order.start }, { "changed", reply->detail.empty() } }));
}

static void changeEvacuations(Node& node, const RequestArrived& arrived, const std::string& operatorName)
{
    const std::string domain = queryValue(arrived.request.target, "domain");
    if (domain.empty())
        return refuseRequest(node, arrived.exchange, RefusalCode::MalformedRequest, "expected ?domain= with the name of a failure domain");
    orderEvacuation(node, { .exchange = arrived.exchange, .domain = domain, .operatorName = operatorName, .start = arrived.request.method == "POST", .arrivedAt = node.now, .done = answerEvacuationOrder });
}

// Number of upstreams that this node knows in the failure domain.
static size_t upstreamsIn(const Node& node, const std::string& domain)
{
    const auto& entries = node.membership.upstreams.entries;
    return static_cast<size_t>(std::count_if(entries.begin(), entries.end(), [&](const auto& it) { return it.second.announced.domain == domain; }));
}

static void showEvacuations(Node& node, const RequestArrived& arrived)
{
    json::array list;
    for (const auto& [domain, it] : node.evacuations.inForce)
        list.push_back(json::object { { "domain", domain }, { "operator", it.operatorName }, { "ordered_at_ms", it.orderedAt.value }, { "upstreams", upstreamsIn(node, domain) }, { "rule", toRuleLine(it) } });
    json::array unable;
    for (const auto& name : node.options.voter ? nodesWithoutEvacuations(node) : std::vector<std::string> {})
        unable.emplace_back(name);
    answerJson(node, arrived.exchange, 200, json::serialize(json::object { { "sequence", node.evacuations.sequence }, { "evacuations", list }, { "not_readable_by", unable } }));
}

// Finds a voter by the name of its node, or by the 16 hex digits that `voters show` lists for a voter without a live node.
static VoterId findVoter(const Node& node, const json::object& object, const char* key)
{
    const auto* value = object.if_contains(key);
    if (!value || !value->is_string())
        return {};
    const std::string name(std::string_view(value->get_string()));
    if (name == node.options.settings.node)
        return node.options.voter;
    if (const Member* member = findMember(node.membership, idOfName<NodeId>(name)))
        return member->status.voter;
    const auto id = parseCallId(name);
    return id ? VoterId { id->value } : VoterId {};
}

static void orderReplacement(Node& node, const RequestArrived& arrived, const json::object& object)
{
    const VoterId remove = findVoter(node, object, "remove");
    const VoterId add = findVoter(node, object, "add");
    if (!remove || !add || remove == add || !nodeOfVoter(node, add))
        return refuseRequest(node, arrived.exchange, RefusalCode::MalformedRequest, "\"remove\": expected a voter, by node name or id; \"add\": expected a live node with a data folder");
    replaceVoter(node, remove, add);
    explain(node, DecisionCode::Order, { { SubjectKind::Node, nodeName(node, nodeOfVoter(node, add)) } }, {}, "operator " + operatorOf(node, arrived.request) + " ordered the replacement of a voter");
    answerJson(node, arrived.exchange, 200, json::serialize(json::object { { "ordered", true }, { "see", "voters show" } }));
}

static void changeVoters(Node& node, const RequestArrived& arrived)
{
    json::error_code ec;
    const auto root = json::parse(arrived.request.body, ec);
    const auto* object = ec ? nullptr : root.if_object();
    if (object && object->if_contains("action") && object->at("action") == "replace")
        return orderReplacement(node, arrived, *object);
    const auto* action = object ? object->if_contains("action") : nullptr;
    const auto* names = object ? object->if_contains("voters") : nullptr;
    if (!action || !action->is_string() || action->get_string() != "bootstrap" || !names || !names->is_array())
        return refuseRequest(node, arrived.exchange, RefusalCode::MalformedRequest, R"(expected {"action":"bootstrap","voters":["NODE",...]} or {"action":"replace","remove":"VOTER","add":"NODE"})");
    std::vector<std::string> nodes;
    for (const auto& name : names->get_array()) {
        if (!name.is_string())
            return refuseRequest(node, arrived.exchange, RefusalCode::MalformedRequest, "\"voters\": expected a list of node names");
        nodes.emplace_back(std::string_view(name.get_string()));
    }
    std::string problem;
    const bool ok = handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_CHECK(bootstrapGroups(node, nodes));
            return true;
        },
        [&](const Error& error) { problem = toString(error); return false; });
    if (!ok)
        return refuseRequest(node, arrived.exchange, RefusalCode::Conflict, problem);
    addLog(node, LogLevel::Info, "bootstrapped", Step::Command, operatorOf(node, arrived.request), "bootstrapped the decision log and the ledger groups");
    answerJson(node, arrived.exchange, 200, json::serialize(json::object { { "bootstrapped", true }, { "groups", node.groups.size() } }));
}

static void startDrain(Node& node, const RequestArrived& arrived, const std::string& operatorName)
{
    if (!node.draining) {
        node.draining = true;
        node.drainSince = node.now;
        addLog(node, LogLevel::Info, "drain_started", Step::Command, operatorName, "removed from the entry addresses; serving until callers have switched nodes and calls have completed");
    }
    answerJson(node, arrived.exchange, 200, json::serialize(json::object { { "draining", true }, { "calls_in_flight", node.calls.size() }, { "leaves_after_ms", node.options.settings.timings.entryValid.value } }));
}

static void takeSnapshots(Node& node, const RequestArrived& arrived)
{
    for (auto& [id, group] : node.groups)
        takeSnapshot(*group.replica);
    answerJson(node, arrived.exchange, 200, json::serialize(json::object { { "groups", node.groups.size() } }));
}

void answerAdmin(Node& node, const RequestArrived& arrived)
{
    const auto name = operatorOf(node, arrived.request);
    if (name.empty())
        return refuseRequest(node, arrived.exchange, RefusalCode::Unauthorized, "the operator token is missing or unknown");
    const auto path = pathOf(arrived.request.target);
    const auto& method = arrived.request.method;
    if (path == "/admin/rules" && method == "POST")
        return applyRules(node, arrived, name);
    // Rules name the revision that they replace. Other orders could have been given up, and others could have followed.
    if (method != "GET" && isInputAgeUnknown(node))
        return answerRefusal(node, arrived.exchange, { RefusalCode::Unavailable, RunStatus::NotRun, "this node stood still and does not know when the order arrived; send it again", {}, applyRetryAfter });
    if (path == "/admin/drain" && method == "POST")
        return startDrain(node, arrived, name);
    if (path == "/admin/voters" && method == "POST")
        return changeVoters(node, arrived);
    if (path == "/admin/evacuations" && (method == "POST" || method == "DELETE"))
        return changeEvacuations(node, arrived, name);
    if (path == "/admin/snapshot" && method == "POST")
        return takeSnapshots(node, arrived);
    if (method != "GET")
        return refuseRequest(node, arrived.exchange, RefusalCode::MethodNotAllowed, "no such operator request with method " + method);
    if (path == "/admin/rules")
        return showRules(node, arrived);
    if (path == "/admin/rules/history")
        return showHistory(node, arrived);
    if (path == "/admin/status")
        return showStatus(node, arrived);
    if (path == "/admin/voters")
        return answerJson(node, arrived.exchange, 200, json::serialize(json::object { { "groups", groupsJson(node) } }));
    if (path == "/admin/upstreams")
        return showUpstreams(node, arrived);
    if (path == "/admin/explain-route")
        return answerRouteExplanation(node, arrived);
    if (path == "/admin/explain")
        return answerExplain(node, arrived);
    if (path == "/admin/evacuations")
        return showEvacuations(node, arrived);
    if (path == "/admin/moves")
        return showMoves(node, arrived);
    refuseRequest(node, arrived.exchange, RefusalCode::UnknownRoute, "no such operator request");
}

}
