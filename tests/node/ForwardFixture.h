#pragma once

#include "FleetFixture.h"

#include "base/Hash.h"
#include "node/ForwardFlow.h"
#include "rules/RuleParser.h"

namespace siskinshunt {

/// One entry node with rules; the test acts as its upstreams and callers.
struct ForwardNode {
    explicit ForwardNode(const std::string& more = {})
    {
        NodeOptions options;
        options.settings.node = "entry-1";
        options.settings.cluster = "test";
        options.settings.failureDomain = "a";
        options.settings.http = { "127.0.0.1", 8080 };
        options.settings.peer = { "127.0.0.1", 7000 };
        options.settings.peerKey = std::string(32, 'k');
        options.settings.listeners.forward = { "127.0.0.1", 8081 };
        options.settings.timings.drainLimit = TimeMs { 7000 };
        options.settings.ledgerGroups = 0;
        options.startedAtUtc = now;
        node = handle([&] { return makeNode(std::move(options), now); }, [](const Error&) { return NodePtr {}; });
        BOOST_REQUIRE(node);
        useRules(rulesText() + more);
    }

    static std::string rulesText()
    {
        const std::string author = " # Asma: test\n";
        return "backend desk" + author + "backend lm slots=64 memory-tokens=100000" + author
            + "forward book host=h prefix=/book/ kind=once timeout=1s target=150ms attempts=1 anonymous=yes to=desk:1" + author
            + "forward look host=h prefix=/look/ kind=repeatable timeout=1s target=150ms attempts=2 anonymous=yes to=desk:1" + author
            + "forward plan host=h prefix=/plan/ kind=stream timeout=6s target=800ms gap=250ms attempts=2 resume=yes anonymous=yes to=lm:1" + author
            + "forward ask host=h prefix=/ask/ kind=stream timeout=4s target=600ms gap=250ms attempts=1 resume=no anonymous=yes to=lm:1" + author;
    }

    void useRules(const std::string& text)
    {
        auto parsed = parseRules(text);
        BOOST_REQUIRE_MESSAGE(parsed.problems.empty(), (parsed.problems.empty() ? "" : parsed.problems.front().message));
        node->rules = std::make_shared<const RuleSet>(std::move(parsed.rules));
        setForwardRules(*node);
    }

    void addUpstream(const std::string& name, const std::string& backend, uint64_t incarnation = 1, bool leaving = false)
    {
        Announcement announced;
        announced.name = name;
        announced.address = "127.0.0.2:" + std::to_string(9000 + ++announcements);
        announced.domain = "a";
        announced.model = backend;
        announced.version = "v1";
        announced.leaving = leaving;
        announced.incarnation = incarnation;
        announced.sequence = announcements;
        announced.load.capacity = 4;
        announce(node->membership, now, announced, node->membershipOutputs);
        run({});
    }

    void run(Inputs inputs)
    {
        Outputs outputs;
        step(*node, now, std::move(inputs), outputs);
        for (auto& it : outputs.dispatches)
            dispatches.push_back(std::move(it));
        for (auto& it : outputs.answers)
            answers.push_back(std::move(it));
        cancels.insert(cancels.end(), outputs.cancels.begin(), outputs.cancels.end());
        discardedPools.insert(discardedPools.end(), outputs.discardedPools.begin(), outputs.discardedPools.end());
        stopped = stopped || outputs.stop;
        logs.insert(logs.end(), outputs.log.begin(), outputs.log.end());
    }

    // Permits that this node has in a window, besides those that its requests bring.
    void allowRetries(double permits) { node->forward.retryLimit = { .window = 10_s, .ratio = 0, .extra = permits / 0.85 }; }

    // Value of a field in the last line with this code; empty if there is none.
    std::string logged(std::string_view code, std::string_view field) const
    {
        const auto line = std::find_if(logs.rbegin(), logs.rend(), [&](const auto& it) { return it.code == code; });
        if (line == logs.rend())
            return {};
        const auto it = std::find_if(line->fields.begin(), line->fields.end(), [&](const auto& candidate) { return candidate.first == field; });
        return it == line->fields.end() ? std::string {} : it->second;
    }

    void advance(TimeMs time)
    {
        for (const TimeMs end = now + time; now < end;) {
            now += 20_ms;
            run({});
        }
    }

    ExchangeId post(const std::string& path, HttpHeaders headers = {})
    {
        headers.emplace_back("Host", "h");
        headers.emplace_back(names.requestId, "r" + std::to_string(++exchange));
        Inputs inputs;
        inputs.requests.push_back({ exchange, { "POST", path, std::move(headers), "body" }, "127.0.0.9:1", ListenerKind::Forward });
        run(std::move(inputs));
        return exchange;
    }

    const UpstreamDispatch& last() const { return dispatches.back(); }

    void event(UpstreamEvent event)
    {
        event.dispatch = last().dispatch;
        Inputs inputs;
        inputs.events.push_back(std::move(event));
        run(std::move(inputs));
    }

    void sending() { event({ .kind = UpstreamEventKind::Sending }); }
    void fail(UpstreamFailure failure) { event({ .kind = UpstreamEventKind::Failed, .failure = failure }); }
    void body(const std::string& bytes) { event({ .kind = UpstreamEventKind::Body, .bytes = bytes }); }
    void end() { event({ .kind = UpstreamEventKind::End }); }
    void head(uint16_t status, HttpHeaders more = {}, bool receipt = true)
    {
        more.emplace_back(names.requestId, "r" + std::to_string(exchange));
        if (receipt)
            more.emplace_back(names.receipt, "proof");
        event({ .kind = UpstreamEventKind::Head, .status = status, .headers = std::move(more) });
    }

    // Status and body of the answer to the last request; status 0 if there is none, 1 if it was aborted.
    std::pair<int, std::string> answer() const { return answerTo(exchange); }

    std::pair<int, std::string> answerTo(ExchangeId wanted) const
    {
        int status = 0;
        std::string text;
        for (const auto& it : answers) {
            if (it.exchange != wanted)
                continue;
            if (it.part == AnswerPart::Abort)
                return { 1, text };
            if (it.part == AnswerPart::Whole || it.part == AnswerPart::Head) {
                BOOST_CHECK_EQUAL(status, 0);
                status = it.status;
            }
            text += it.body;
        }
        return { status, text };
    }

    HeaderNames names;
    TimeMs now { 1764800000000 };
    NodePtr node;
    ExchangeId exchange = 0;
    uint64_t announcements = 0;
    std::vector<UpstreamDispatch> dispatches;
    std::vector<Answer> answers;
    std::vector<DispatchId> cancels;
    std::vector<std::string> discardedPools;
    bool stopped = false; ///< The node has said that the process can end.
    std::vector<LogRecord> logs;
};

/// Options of a fleet whose first nodes have a data folder and take the announcements; all others are entry nodes.
inline NodeFleetOptions forwardFleetOptions(int entries, int controls)
{
    return { .nodes = controls + entries, .voters = std::min(controls, 7), .disks = controls, .ledgerGroups = 0, .forwards = true, .announceNodes = static_cast<size_t>(controls) };
}

/// Starts the fleet with the rules of ForwardNode and waits until they are in force.
inline void startForwardFleet(NodeFleet& fleet)
{
    BOOST_REQUIRE(fleet.startCluster());
    const auto applied = fleet.apply(0, "forwards", 1, ForwardNode::rulesText(), "omar");
    BOOST_REQUIRE(waitFor(fleet, applied, 6_s));
    BOOST_REQUIRE(fleet.runUntil([&] { return fleet.agreeOnRevision(2); }, 5_s));
}

}
