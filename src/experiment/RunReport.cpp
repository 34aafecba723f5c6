#include "experiment/RunReport.h"

#include "experiment/ClientPolicy.h"
#include "experiment/LoadTally.h"
#include "experiment/TextTable.h"

#include <algorithm>
#include <cstdio>
#include <set>

namespace siskinshunt {

namespace {

    std::string number(double value)
    {
        char out[32];
        std::snprintf(out, sizeof out, value == static_cast<double>(static_cast<int64_t>(value)) ? "%.0f" : "%.3g", value);
        return out;
    }

    std::vector<std::string> keysOf(const std::vector<Json>& runs, const char* member)
    {
        std::vector<std::string> out;
        for (const auto& run : runs) {
            for (const auto& [key, value] : run[member].members) {
                if (std::find(out.begin(), out.end(), key) == out.end())
                    out.push_back(key);
            }
        }
        return out;
    }

    /// Joins a value of each run with " | ".
    template <class Get>
    std::string joinRuns(const std::vector<Json>& runs, Get get)
    {
        std::string out;
        for (const auto& run : runs)
            out += (out.empty() ? "" : " | ") + get(run);
        return out;
    }

    std::vector<TextRow> resultRows(const std::vector<Json>& runs)
    {
        std::vector<TextRow> out { { "mix", "calls" } };
        for (const auto& it : enumNames<CallResult>)
            out[0].emplace_back(it.name);
        out[0].insert(out[0].end(), { "resent", "broken" });
        for (const auto& name : keysOf(runs, "mixes")) {
            TextRow row { name, joinRuns(runs, [&](const Json& run) { return number(run["mixes"][name]["calls"].asDouble()); }) };
            for (const auto& it : enumNames<CallResult>)
                row.push_back(joinRuns(runs, [&](const Json& run) { return number(run["mixes"][name]["results"][it.name].asDouble()); }));
            for (const char* key : { "resent", "broken" })
                row.push_back(joinRuns(runs, [&](const Json& run) { return number(run["mixes"][name][key].asDouble()); }));
            out.push_back(std::move(row));
        }
        return out;
    }

    std::vector<TextRow> latencyRows(const std::vector<Json>& runs)
    {
        std::vector<TextRow> out { { "mix", "first token p50 ms", "p95", "p99", "between tokens p95 ms", "whole p50 ms", "p95", "p99" } };
        for (const auto& name : keysOf(runs, "mixes")) {
            TextRow row { name };
            const auto add = [&](const char* what, const char* quantile) {
                row.push_back(joinRuns(runs, [&](const Json& run) {
                    const auto& it = run["mixes"][name][what];
                    return it["count"].asInt() ? number(it[quantile].asDouble()) : std::string("-");
                }));
            };
            for (const char* quantile : { "p50", "p95", "p99" })
                add("first_token_ms", quantile);
            add("between_tokens_ms", "p95");
            for (const char* quantile : { "p50", "p95", "p99" })
                add("total_ms", quantile);
            out.push_back(std::move(row));
        }
        return out;
    }

    std::vector<TextRow> checkRows(const std::vector<Json>& runs)
    {
        std::vector<TextRow> out { { "check", "count" } };
        for (const char* key : { "lost", "cut", "crossed", "doubled", "missing", "false_not_run", "broken_connections", "slow_refusals", "refusals_without_retry_after", "work_after_notice", "audit" })
            out.push_back({ key, joinRuns(runs, [&](const Json& run) { return toPlainText(run["checks"][key]); }) });
        return out;
    }

    std::vector<TextRow> refusalRows(const std::vector<Json>& runs)
    {
        std::vector<TextRow> out { { "last refusal or error (code, run word)", "calls" } };
        for (const auto& key : keysOf(runs, "refusals"))
            out.push_back({ key, joinRuns(runs, [&](const Json& run) { return number(run["refusals"][key].asDouble()); }) });
        return out;
    }

    double increase(const Json& run, const char* key)
    {
        const auto& costs = run["costs"].items;
        return costs.empty() ? 0 : costs.back()[key].asDouble() - costs.front()[key].asDouble();
    }

    std::vector<TextRow> costRows(const std::vector<Json>& runs)
    {
        std::vector<TextRow> out { { "cost", "figure" } };
        for (const char* key : { "spent", "prefilled_tokens", "cached_tokens", "resumed_tokens", "decoded_tokens" })
            out.push_back({ key, joinRuns(runs, [&](const Json& run) { return number(increase(run, key)); }) });
        return out;
    }

    std::string headLine(const Json& run)
    {
        const auto& about = run["about"];
        return toPlainText(about["config"]) + ", seed " + toPlainText(about["seed"]) + ", " + number(about["duration_s"].asDouble()) + " s, " + toPlainText(about["arrivals"]) + " calls";
    }

    std::string tableHtml(const std::vector<TextRow>& rows)
    {
        std::string out = "<table>";
        for (size_t n = 0; n < rows.size(); ++n) {
            out += "<tr>";
            for (const auto& cell : rows[n])
                out += n == 0 ? "<th>" + escapeHtml(cell) + "</th>" : "<td>" + escapeHtml(cell) + "</td>";
            out += "</tr>\n";
        }
        return out + "</table>\n";
    }

    std::vector<PlotLine> windowLines(const Json& run, const char* member)
    {
        std::vector<PlotLine> out;
        for (const auto& window : run["windows"].items) {
            for (const auto& entry : window[member].members) {
                auto it = std::find_if(out.begin(), out.end(), [&](const auto& line) { return line.name == entry.first; });
                if (it == out.end())
                    it = out.insert(out.end(), PlotLine { entry.first, {} });
                it->points.emplace_back(window["at_s"].asDouble(), entry.second.asDouble());
            }
        }
        return out;
    }

    std::vector<PlotLine> versionShareLines(const Json& run)
    {
        std::set<std::string> names;
        for (const auto& window : run["windows"].items) {
            for (const auto& [name, value] : window["versions"].members)
                names.insert(name);
        }
        std::vector<PlotLine> out;
        for (const auto& name : names) {
            PlotLine line { name, {} };
            for (const auto& window : run["windows"].items) {
                double sum = 0;
                for (const auto& [other, value] : window["versions"].members)
                    sum += value.asDouble();
                if (sum > 0)
                    line.points.emplace_back(window["at_s"].asDouble(), 100 * window["versions"][name].asDouble() / sum);
            }
            out.push_back(std::move(line));
        }
        return out;
    }

    PlotLine costLine(const Json& run, const char* key)
    {
        PlotLine out { key, {} };
        for (const auto& it : run["costs"].items)
            out.points.emplace_back(it["at_s"].asDouble(), it[key].asDouble());
        return out;
    }

    std::string plotsOf(const Json& run)
    {
        std::string out = "<section><h2>" + escapeHtml(headLine(run)) + "</h2>\n";
        out += renderPlot("First token, 95th percentile", "ms", windowLines(run, "first_token_p95_ms"));
        out += renderPlot("Whole answer, 95th percentile", "ms", windowLines(run, "total_p95_ms"));
        out += renderPlot("Share of each version", "%", versionShareLines(run));
        out += renderPlot("Cost of the instances", "per hour", { costLine(run, "per_hour") });
        out += renderPlot("Tokens computed again after a resume", "tokens", { costLine(run, "resumed_tokens") });
        return out + "</section>\n";
    }

}

std::string renderTable(const std::vector<Json>& runs)
{
    std::string out;
    for (const auto& run : runs)
        out += headLine(run) + (runIsClean(run, false) ? ": clean\n" : ": NOT CLEAN\n");
    for (const auto& rows : { resultRows(runs), latencyRows(runs), refusalRows(runs), costRows(runs), checkRows(runs) }) {
        if (rows.size() > 1)
            out += "\n" + formatTable(rows);
    }
    return out;
}

std::string renderHtml(const std::vector<Json>& runs)
{
    std::string out = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>siskinshunt load run</title>\n"
                      "<style>body{font:14px sans-serif;margin:2em}table{border-collapse:collapse;margin:1em 0}"
                      "td,th{border:1px solid #bbb;padding:2px 8px;text-align:right}td:first-child,th:first-child{text-align:left}"
                      ".runs{display:flex;gap:2em;flex-wrap:wrap}svg{display:block;margin:1em 0}</style></head><body>\n<h1>Load run</h1>\n";
    for (const auto& run : runs)
        out += "<p>" + escapeHtml(headLine(run)) + (runIsClean(run, false) ? ": clean" : ": <strong>not clean</strong>") + "</p>\n";
    for (const auto& rows : { resultRows(runs), latencyRows(runs), refusalRows(runs), costRows(runs), checkRows(runs) }) {
        if (rows.size() > 1)
            out += tableHtml(rows);
    }
    out += "<div class=\"runs\">";
    for (const auto& run : runs)
        out += plotsOf(run);
    return out + "</div></body></html>\n";
}

}
