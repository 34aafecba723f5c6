#include "experiment/AdminClient.h"
#include "experiment/Arrivals.h"
#include "experiment/CommandOptions.h"
#include "experiment/Commands.h"
#include "experiment/TextTable.h"
#include "rules/RuleKinds.h"
#include "rules/RuleParser.h"

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <sstream>

namespace siskinshunt {

namespace {

    /// Options common to all operator commands.
    class AdminOptions : public CommandOptions {
    public:
        AdminOptions(const std::string& usage, const std::string& text)
            : CommandOptions("siskinshuntctl " + usage + " --address ADDR... [--token-file FILE]", text)
        {
            addMany("address", "nodes (IP:port) to send the request to, in order");
            add("token-file", "file with the operator token; the default is the environment variable SISKINSHUNT_TOKEN");
            addDefault("timeout", "timeout of an attempt in milliseconds", "5000");
            addFlag("json", "print the answer as JSON");
        }

        /// Returns an exit code if the command ends here; otherwise sets `access`.
        std::optional<int> read(const std::vector<std::string>& arguments)
        {
            if (const auto code = parse(arguments))
                return code;
            if (!require({ "address" }))
                return exit_codes::usage;
            const auto timeout = number("timeout", 1, 600000);
            if (!timeout)
                return exit_codes::usage;
            access.addresses = many("address");
            access.timeout = { *timeout };
            return readToken();
        }

        AdminAccess access;

    private:
        std::optional<int> readToken()
        {
            if (const auto file = text("token-file"); !file.empty()) {
                std::ifstream in(file);
                if (!std::getline(in, access.token)) {
                    std::cerr << file << ": the token cannot be read\n";
                    return exit_codes::usage;
                }
            } else if (const char* token = std::getenv("SISKINSHUNT_TOKEN")) {
                access.token = token;
            } else {
                std::cerr << "an operator token is required: --token-file or SISKINSHUNT_TOKEN\n";
                return exit_codes::usage;
            }
            return std::nullopt;
        }
    };

    int printAnswer(const AdminAnswer& answer, bool asJson)
    {
        const int code = exitCodeOf(answer);
        if (answer.status == 0) {
            std::cerr << "no node answered after " << answer.attempts << " attempts" << (answer.possiblyExecuted ? "; the request may have been executed" : "") << '\n';
            return code;
        }
        if (asJson) {
            std::cout << toText(answer.body) << '\n';
        } else if (code == exit_codes::ok) {
            std::cout << renderAsText(answer.body);
        } else {
            const auto& error = answer.body["error"];
            std::cerr << answer.address << " answered " << answer.status << ": " << (error.has("message") ? toPlainText(error["message"]) : toPlainText(answer.body)) << '\n';
            if (error.kind == Json::Kind::Object)
                std::cerr << renderAsText(error);
        }
        return code;
    }

    std::string newRequestId()
    {
        std::random_device device;
        const auto wall = std::chrono::system_clock::now().time_since_epoch();
        const auto random = [&] { return (static_cast<uint64_t>(device()) << 32) | device(); };
        return makeUuid7(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wall).count()), random(), random());
    }

    std::optional<std::string> readFile(const std::string& path)
    {
        std::ifstream in(path, std::ios::binary);
        std::ostringstream text;
        text << in.rdbuf();
        // A directory can be opened like a file and reads as empty.
        if (in && !std::filesystem::is_directory(path))
            return text.str();
        std::cerr << path << ": the file cannot be read\n";
        return std::nullopt;
    }

    /// Percent-encodes all characters except the unreserved ones.
    std::string encodeQuery(std::string_view text)
    {
        constexpr std::string_view unreserved = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~";
        std::string out;
        for (const char c : text) {
            if (unreserved.find(c) != std::string_view::npos) {
                out += c;
                continue;
            }
            char hex[4];
            std::snprintf(hex, sizeof hex, "%%%02X", static_cast<unsigned>(static_cast<unsigned char>(c)));
            out += hex;
        }
        return out;
    }

    int printResource(const char* usage, const char* text, const char* target, const std::vector<std::string>& arguments)
    {
        AdminOptions options(usage, text);
        if (const auto code = options.read(arguments))
            return *code;
        return printAnswer(callAdmin(options.access, "GET", target), options.flag("json"));
    }

    int applyRules(const std::vector<std::string>& arguments)
    {
        AdminOptions options("rules apply FILE --expected REVISION [--request-id ID]",
            "Applies the rules file if REVISION is still the revision in force. If an answer is lost, the request is sent\n"
            "again with the same request id, so it is applied at most once. Exits with 1 if another operator was first.");
        options.addPositional("file", 1);
        options.add("expected", "revision that the file was edited from");
        options.add("request-id", "id of this request; the default is a new one, which is printed");
        if (const auto code = options.read(arguments))
            return *code;
        if (!options.require({ "file", "expected" }))
            return exit_codes::usage;
        const auto expected = options.number("expected", 0, INT64_MAX);
        const auto text = readFile(options.many("file")[0]);
        if (!expected || !text)
            return exit_codes::usage;
        const auto id = options.has("request-id") ? options.text("request-id") : newRequestId();
        const auto answer = callAdmin(options.access, "POST", "/admin/rules", Json::object({ { "request_id", id }, { "expected_revision", *expected }, { "text", *text } }));
        if (exitCodeOf(answer) == exit_codes::unreachable)
            std::cerr << "to find out the outcome, run the same command again with --request-id " << id << '\n';
        return printAnswer(answer, options.flag("json"));
    }

    int showRules(const std::vector<std::string>& arguments)
    {
        return printResource("rules show", "Prints the rules in force, their revision and the live nodes that have not confirmed it.", "/admin/rules", arguments);
    }

    int rulesHistory(const std::vector<std::string>& arguments)
    {
        return printResource("rules history", "Lists the revisions with who applied them and when.", "/admin/rules/history", arguments);
    }

    int diffRules(const std::vector<std::string>& arguments)
    {
        AdminOptions options("rules diff FILE", "Compares the rules in force (-) with the file (+). Exits with 1 when they differ.");
        options.addPositional("file", 1);
        if (const auto code = options.read(arguments))
            return *code;
        if (!options.require({ "file" }))
            return exit_codes::usage;
        const auto text = readFile(options.many("file")[0]);
        if (!text)
            return exit_codes::usage;
        const auto answer = callAdmin(options.access, "GET", "/admin/rules");
        if (exitCodeOf(answer) != exit_codes::ok)
            return printAnswer(answer, options.flag("json"));
        const auto diff = diffLines(answer.body["text"].asText(), *text);
        if (options.flag("json"))
            std::cout << toText(Json::object({ { "revision", answer.body["revision"] }, { "equal", diff.empty() }, { "diff", diff } })) << '\n';
        else
            std::cout << diff;
        return diff.empty() ? exit_codes::ok : exit_codes::negative;
    }

    Json countsByKind(const RuleSet& rules)
    {
        auto counts = Json::object();
        for (const auto kind : ruleKindNames()) {
            const auto n = std::count_if(rules.lines.begin(), rules.lines.end(), [&](const RuleLine& it) { return it.kind == kind; });
            if (n)
                counts.set(std::string(kind), static_cast<int64_t>(n));
        }
        return counts;
    }

    void printCheck(const std::string& file, const ParsedRules& parsed)
    {
        for (const auto& it : parsed.problems)
            std::cout << toString(it, file) << '\n';
        if (!parsed.problems.empty())
            return;
        std::cout << file << ": valid; rules: " << parsed.rules.lines.size();
        for (const auto& [kind, n] : countsByKind(parsed.rules).members)
            std::cout << ", " << kind << ' ' << toPlainText(n);
        std::cout << '\n';
    }

    int checkRules(const std::vector<std::string>& arguments)
    {
        CommandOptions options("siskinshuntctl rules check FILE [--json]",
            "Checks a rules file without contacting a node. Exits with 1 if it has problems and with 2 if it cannot be read.");
        options.addPositional("file", 1);
        options.addFlag("json", "print the result as JSON");
        if (const auto code = options.parse(arguments))
            return *code;
        if (!options.require({ "file" }))
            return exit_codes::usage;
        const auto file = options.many("file")[0];
        const auto text = readFile(file);
        if (!text)
            return exit_codes::usage;
        const auto parsed = parseRules(*text);
        if (options.flag("json")) {
            auto problems = Json::array();
            for (const auto& it : parsed.problems)
                problems.push(Json::object({ { "line", it.line }, { "column", it.column }, { "message", it.message } }));
            std::cout << toText(Json::object({ { "file", file }, { "valid", parsed.problems.empty() }, { "rules", countsByKind(parsed.rules) }, { "problems", problems } })) << '\n';
        } else
            printCheck(file, parsed);
        return parsed.problems.empty() ? exit_codes::ok : exit_codes::negative;
    }

    int bootstrapVoters(const std::vector<std::string>& arguments)
    {
        AdminOptions options("voters bootstrap --voter NODE...", "Appoints the first voters; possible only on a system without voters.");
        options.addMany("voter", "names of the nodes: 3, 5 or 7");
        if (const auto code = options.read(arguments))
            return *code;
        if (!options.require({ "voter" }))
            return exit_codes::usage;
        auto voters = Json::array();
        for (const auto& it : options.many("voter"))
            voters.push(it);
        return printAnswer(callAdmin(options.access, "POST", "/admin/voters", Json::object({ { "action", "bootstrap" }, { "request_id", newRequestId() }, { "voters", voters } })), options.flag("json"));
    }

    int replaceVoter(const std::vector<std::string>& arguments)
    {
        AdminOptions options("voters replace --remove VOTER --add NODE", "Replaces one voter: the new one joins as a learner and becomes a voter after it has caught up.");
        options.add("remove", "voter id or node name of the voter to remove");
        options.add("add", "name of the node that becomes a voter");
        if (const auto code = options.read(arguments))
            return *code;
        if (!options.require({ "remove", "add" }))
            return exit_codes::usage;
        return printAnswer(callAdmin(options.access, "POST", "/admin/voters", Json::object({ { "action", "replace" }, { "request_id", newRequestId() }, { "remove", options.text("remove") }, { "add", options.text("add") } })), options.flag("json"));
    }

    int showVoters(const std::vector<std::string>& arguments)
    {
        return printResource("voters show", "Lists the voters of every consensus group.", "/admin/voters", arguments);
    }

    struct Subcommand {
        const char* name;
        int (*run)(const std::vector<std::string>&);
    };

    int runSubcommand(const char* command, std::initializer_list<Subcommand> subcommands, const std::vector<std::string>& arguments)
    {
        const bool help = !arguments.empty() && (arguments[0] == "--help" || arguments[0] == "-h");
        for (const auto& it : subcommands) {
            if (!arguments.empty() && arguments[0] == it.name)
                return it.run({ arguments.begin() + 1, arguments.end() });
        }
        auto& out = help ? std::cout : std::cerr;
        out << "usage: siskinshuntctl " << command << " SUBCOMMAND [OPTIONS], where SUBCOMMAND is one of";
        for (const auto& it : subcommands)
            out << ' ' << it.name;
        out << "\nsiskinshuntctl " << command << " SUBCOMMAND --help describes the options.\n";
        return help ? exit_codes::ok : exit_codes::usage;
    }

}

int runRulesCommand(const std::vector<std::string>& arguments)
{
    return runSubcommand("rules", { { "check", checkRules }, { "apply", applyRules }, { "show", showRules }, { "diff", diffRules }, { "history", rulesHistory } }, arguments);
}

int runVotersCommand(const std::vector<std::string>& arguments)
{
    return runSubcommand("voters", { { "show", showVoters }, { "bootstrap", bootstrapVoters }, { "replace", replaceVoter } }, arguments);
}

int runStatusCommand(const std::vector<std::string>& arguments)
{
    return printResource("status", "Prints the state of the answering node and its view of the others.", "/admin/status", arguments);
}

int runUpstreamsCommand(const std::vector<std::string>& arguments)
{
    return printResource("upstreams", "Lists the upstreams with load, version and reclaim notice.", "/admin/upstreams", arguments);
}

int runMovesCommand(const std::vector<std::string>& arguments)
{
    return printResource("moves", "Lists the version moves with stage, shares and reason.", "/admin/moves", arguments);
}

static int explainRoute(const std::vector<std::string>& arguments)
{
    AdminOptions options("explain route HOST PATH [--account NAME] [--parts HEX:TOKENS,...] [--prompt-tokens N] [--output-tokens N]",
        "Shows where a request would go now, and why, without sending it: each candidate with its expected wait and what excludes it.\n"
        "Asks every node of --address, since nodes may know different loads. Exits with 1 if one of them would refuse the request.");
    options.addPositional("route", 2);
    for (const char* name : { "account", "parts", "prompt-tokens", "output-tokens" })
        options.add(name, "of the request");
    if (const auto code = options.read(arguments))
        return *code;
    if (options.many("route").size() != 2) {
        std::cerr << "explain route requires a host and a path\n";
        return exit_codes::usage;
    }
    const std::string target = "/admin/explain-route?host=" + encodeQuery(options.many("route")[0]) + "&path=" + encodeQuery(options.many("route")[1]) + "&account=" + encodeQuery(options.text("account"))
        + "&parts=" + encodeQuery(options.text("parts")) + "&prompt_tokens=" + encodeQuery(options.text("prompt-tokens")) + "&output_tokens=" + encodeQuery(options.text("output-tokens"));
    int worst = exit_codes::ok;
    for (const auto& address : options.access.addresses) {
        AdminAccess access = options.access;
        access.addresses = { address };
        const auto answer = callAdmin(access, "GET", target);
        int code = printAnswer(answer, options.flag("json"));
        for (const auto& backend : answer.body["backends"].items)
            code = code == exit_codes::ok && toPlainText(backend["outcome"]) != "sent" ? exit_codes::negative : code;
        worst = std::max(worst, code);
    }
    return worst;
}

int runExplainCommand(const std::vector<std::string>& arguments)
{
    if (!arguments.empty() && arguments.front() == "route")
        return explainRoute({ arguments.begin() + 1, arguments.end() });
    AdminOptions options("explain ID", "Lists the decisions that concern a call, move, order or instance, from all nodes and in order. Exits with 1 when there are none.");
    options.addPositional("id", 1);
    if (const auto code = options.read(arguments))
        return *code;
    if (!options.require({ "id" }))
        return exit_codes::usage;
    const auto answer = callAdmin(options.access, "GET", "/admin/explain?id=" + encodeQuery(options.many("id")[0]));
    const int code = printAnswer(answer, options.flag("json"));
    return code == exit_codes::ok && answer.body["records"].items.empty() ? exit_codes::negative : code;
}

int runEvacuateCommand(const std::vector<std::string>& arguments)
{
    AdminOptions options("evacuate DOMAIN [--end]", "Orders that the upstreams of the failure domain get no new requests, or ends that. Repeating an order has no effect.");
    options.addPositional("domain", 1);
    options.addFlag("end", "end the evacuation");
    if (const auto code = options.read(arguments))
        return *code;
    if (!options.require({ "domain" }))
        return exit_codes::usage;
    const std::string target = "/admin/evacuations?domain=" + encodeQuery(options.many("domain")[0]);
    return printAnswer(callAdmin(options.access, options.flag("end") ? "DELETE" : "POST", target), options.flag("json"));
}

int runEvacuationsCommand(const std::vector<std::string>& arguments)
{
    return printResource("evacuations", "Lists the evacuations in force with who ordered them and when.", "/admin/evacuations", arguments);
}

int runDrainCommand(const std::vector<std::string>& arguments)
{
    AdminOptions options("drain", "Drains the node at the address: it is removed from the address list and exits when its calls have ended.");
    if (const auto code = options.read(arguments))
        return *code;
    if (options.access.addresses.size() != 1) {
        std::cerr << "drain requires exactly one --address, which is the node to drain\n";
        return exit_codes::usage;
    }
    return printAnswer(callAdmin(options.access, "POST", "/admin/drain", Json::object()), options.flag("json"));
}

int runSnapshotCommand(const std::vector<std::string>& arguments)
{
    AdminOptions options("snapshot [--out FILE]", "Gathers status, rules with history, upstreams, moves and voters in one JSON object, for an auditor or a fault report.");
    options.add("out", "file to write; the default is standard output");
    if (const auto code = options.read(arguments))
        return *code;
    auto all = Json::object();
    int code = exit_codes::ok;
    for (const char* part : { "status", "rules", "rules/history", "upstreams", "moves", "evacuations", "voters" }) {
        const auto answer = callAdmin(options.access, "GET", std::string("/admin/") + part);
        all.set(part, Json::object({ { "address", answer.address }, { "status", answer.status }, { "body", answer.body } }));
        code = std::max(code, exitCodeOf(answer));
    }
    if (const auto file = options.text("out"); file.empty()) {
        std::cout << toText(all) << '\n';
    } else {
        std::ofstream out(file);
        out << toText(all) << '\n';
        out.close();
        if (!out) {
            std::cerr << file << ": the file cannot be written\n";
            return exit_codes::usage;
        }
    }
    return code;
}

}
