#include "node/ExplainFlow.h"

#include "node/Answers.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>
#include <boost/json.hpp>

namespace siskinshunt {

namespace json = boost::json;

static constexpr TimeMs replyTimeout { 1000 };
static constexpr size_t maxRecordsPerNode = 200;
static constexpr size_t maxIdBytes = 128;
static constexpr size_t maxReplyBytes = 1 << 20;
static constexpr size_t maxQueries = 64;

namespace {

    struct ExplainFrame {
        uint64_t request = 0;
        std::string id;

        template <class Archive>
        void serialize(Archive& archive) { archive(request, id); }
    };

    struct ExplainReplyFrame {
        uint64_t request = 0;
        std::vector<DecisionRecord> records;

        template <class Archive>
        void serialize(Archive& archive) { archive(request, records); }
    };

}

RuleReference referenceTo(const RuleOrigin& origin)
{
    return { origin.line, origin.person, origin.text };
}

void explain(Node& node, DecisionCode code, std::vector<DecisionSubject> subjects, const RuleReference& rule, std::string text)
{
    node.decisions.add({ .at = node.now, .node = {}, .sequence = 0, .code = code, .subjects = std::move(subjects), .rule = rule, .text = std::move(text) });
}

void explainCall(Node& node, DecisionCode code, const NodeCall& call, std::string text)
{
    std::vector<DecisionSubject> subjects { { SubjectKind::Call, formatCallId(call.id) } };
    if (!call.upstreamName.empty())
        subjects.push_back({ SubjectKind::Upstream, call.upstreamName });
    explain(node, code, std::move(subjects), referenceTo(call.origin), std::move(text));
}

static std::string nodeNameOf(const Node& node, NodeId id)
{
    if (id == node.self)
        return node.options.settings.node;
    const Member* member = findMember(node.membership, id);
    return member ? member->identity.name : std::to_string(id.value);
}

static void finishQuery(Node& node, uint64_t request)
{
    const auto it = node.explainQueries.find(request);
    if (it == node.explainQueries.end())
        return;
    const ExplainQuery query = std::move(it->second);
    node.explainQueries.erase(it);
    json::array records;
    for (const auto& record : mergeDecisions(query.records)) {
        json::array subjects;
        for (const auto& subject : record.subjects)
            subjects.push_back(json::object { { "kind", nameOf(subject.kind) }, { "id", subject.id } });
        records.push_back(json::object { { "at_ms", record.at.value }, { "node", nodeNameOf(node, record.node) }, { "code", nameOf(record.code) }, { "text", record.text },
            { "rule_line", record.rule.line }, { "asked_by", record.rule.person }, { "rule", record.rule.text }, { "subjects", subjects } });
    }
    json::array missing;
    for (const NodeId id : query.waiting)
        missing.emplace_back(nodeNameOf(node, id));
    answerJson(node, query.exchange, 200, json::serialize(json::object { { "id", query.id }, { "records", records }, { "missing", missing } }));
}

void answerExplain(Node& node, const RequestArrived& arrived)
{
    const auto id = queryValue(arrived.request.target, "id");
    if (id.empty() || id.size() > maxIdBytes)
        return refuseRequest(node, arrived.exchange, RefusalCode::MalformedRequest, "expected ?id= with a call id, or the name of a move, upstream, instance or node");
    if (node.explainQueries.size() >= maxQueries)
        return refuseRequest(node, arrived.exchange, RefusalCode::Unavailable, "too many explain requests at once", replyTimeout);
    const uint64_t request = ++node.lastRequest;
    auto& query = node.explainQueries[request];
    query.exchange = arrived.exchange;
    query.id = id;
    query.until = node.now + replyTimeout;
    query.records.push_back(node.decisions.find(id, maxRecordsPerNode));
    for (const NodeId member : liveMembers(node.membership)) {
        if (member == node.self)
            continue;
        query.waiting.insert(member);
        sendFrame(node, member, FrameKind::Explain, {}, encode(ExplainFrame { request, id }));
    }
    if (query.waiting.empty())
        finishQuery(node, request);
}

void receiveExplain(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeOr<ExplainFrame>(body, maxIdBytes + 64);
    if (!frame.request)
        return countDrop(node, DropReason::BadBody);
    sendFrame(node, from, FrameKind::ExplainReply, {}, encode(ExplainReplyFrame { frame.request, node.decisions.find(frame.id, maxRecordsPerNode) }));
}

void receiveExplainReply(Node& node, NodeId from, std::string_view body)
{
    auto frame = decodeOr<ExplainReplyFrame>(body, maxReplyBytes);
    const auto it = node.explainQueries.find(frame.request);
    if (it == node.explainQueries.end() || !it->second.waiting.erase(from))
        return;
    it->second.records.push_back(std::move(frame.records));
    if (it->second.waiting.empty())
        finishQuery(node, frame.request);
}

void tickExplain(Node& node)
{
    std::vector<uint64_t> due;
    for (const auto& [request, query] : node.explainQueries) {
        if (query.until <= node.now)
            due.push_back(request);
    }
    for (const uint64_t request : due)
        finishQuery(node, request);
}

}
