#include "node/Metrics.h"

#include "node/Groups.h"
#include "node/VoterRepair.h"

#include <cstdio>

namespace siskinshunt {

static void appendValue(std::string& out, const std::string& name, const std::string& labels, double value)
{
    char text[64];
    std::snprintf(text, sizeof(text), " %.9g\n", value);
    out += "siskinshunt_" + name + (labels.empty() ? "" : "{" + labels + "}") + text;
}

static void appendHistogram(std::string& out, const std::string& name, const std::string& labels, const Histogram& histogram)
{
    if (!histogram.count())
        return;
    for (const double q : { 0.5, 0.95, 0.99 }) {
        char quantile[16];
        std::snprintf(quantile, sizeof(quantile), "%g", q);
        appendValue(out, name, labels + ",quantile=\"" + quantile + "\"", static_cast<double>(histogram.quantile(q)) / 1e6);
    }
    appendValue(out, name + "_sum", labels, static_cast<double>(histogram.sum()) / 1e6);
    appendValue(out, name + "_count", labels, static_cast<double>(histogram.count()));
}

static void appendGroups(std::string& out, const Node& node)
{
    for (const auto& [id, group] : node.groups) {
        const auto state = status(*group.replica);
        const std::string labels = "group=\"" + std::to_string(id.value) + "\"";
        appendValue(out, "group_term", labels, static_cast<double>(state.term));
        appendValue(out, "group_applied", labels, static_cast<double>(state.applied));
        appendValue(out, "group_leader", labels, state.role == Role::Leader ? 1 : 0);
        appendValue(out, "group_voters", labels, static_cast<double>(state.voters.size()));
        appendValue(out, "group_voters_alive", labels, static_cast<double>(countLiveVoters(node, state.voters)));
        appendValue(out, "group_majority_alive", labels, group.repair.majorityAlive ? 1 : 0);
    }
}

static void appendFairShares(std::string& out, const Node& node)
{
    const auto& fair = node.forward.fair;
    for (const auto& [backend, pressure] : fair.pressure) {
        const std::string labels = "backend=\"" + backend + "\"";
        appendValue(out, "fair_under_pressure", labels, pressure.underPressure ? 1 : 0);
        appendValue(out, "fair_engine_work_ms_per_second", labels, pressure.workPerEngine);
    }
    const auto labelsOf = [](const std::string& backend, const std::string& account) {
        std::string out = "backend=\"";
        out.append(backend).append("\",account=\"").append(account).append("\"");
        return out;
    };
    for (const auto& [backend, work] : fair.total) {
        for (const auto& [account, offered] : work.offered)
            appendValue(out, "fair_offered_ms_per_second", labelsOf(backend, account), sumOf(offered));
    }
    for (const auto& [backend, limiter] : fair.limiters) {
        if (!hasShares(limiter, node.now))
            continue;
        for (const auto& [account, parts] : limiter.parts) {
            std::string labels = labelsOf(backend, account);
            labels.append(",urgency=\"");
            for (size_t n = 0; n < parts.size(); ++n)
                appendValue(out, "fair_admitted_part", labels + std::to_string(n) + "\"", parts[n]);
        }
    }
}

void answerMetrics(Node& node, const RequestArrived& arrived)
{
    std::string out;
    for (const auto& [name, value] : node.counters.all())
        appendValue(out, name + "_total", {}, static_cast<double>(value));
    for (const auto& [reason, n] : node.droppedMessages)
        appendValue(out, "peer_messages_dropped_total", "reason=\"" + reason + "\"", static_cast<double>(n));
    for (const auto& [kind, bytes] : node.sentBytes)
        appendValue(out, "peer_sent_bytes_total", "kind=\"" + std::string(nameOf(kind)) + "\"", static_cast<double>(bytes));
    for (const auto& [key, histograms] : node.histograms) {
        std::string labels = "account=\"";
        labels.append(key.first).append("\",class=\"").append(key.second).append("\"");
        appendHistogram(out, "first_token_seconds", labels, histograms.firstToken);
        appendHistogram(out, "between_tokens_seconds", labels, histograms.betweenTokens);
        appendHistogram(out, "call_seconds", labels, histograms.wholeCall);
        appendHistogram(out, "queue_seconds", labels, histograms.queued);
        for (const auto& [outcome, n] : histograms.outcomes) {
            std::string outcomeLabels = labels;
            outcomeLabels.append(",outcome=\"").append(outcome).append("\"");
            appendValue(out, "calls_total", outcomeLabels, static_cast<double>(n));
        }
    }
    appendGroups(out, node);
    appendFairShares(out, node);
    appendValue(out, "rules_revision", {}, static_cast<double>(node.view.rules.revision));
    appendValue(out, "evacuations", {}, static_cast<double>(node.evacuations.inForce.size()));
    appendValue(out, "calls_in_flight", {}, static_cast<double>(node.calls.size()));
    appendValue(out, "queued_bytes", {}, static_cast<double>(node.queuedBytes));
    appendValue(out, "members_alive", {}, static_cast<double>(liveMembers(node.membership).size()));
    if (!node.forward.cold.rules.empty())
        appendValue(out, "upstreams_cold", {}, static_cast<double>(node.forward.cold.cold.size()));
    if (!node.forward.regions.unknown.empty())
        appendValue(out, "domains_without_region", {}, static_cast<double>(node.forward.regions.unknown.size()));
    appendValue(out, "upstreams", {}, static_cast<double>(node.membership.upstreams.entries.size()));
    node.out.answers.push_back({ arrived.exchange, AnswerPart::Whole, 200, { { "Content-Type", "text/plain; version=0.0.4" } }, std::move(out) });
}

}
