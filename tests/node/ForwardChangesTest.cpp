#include "ForwardFixture.h"

namespace siskinshunt {

namespace {

    const std::string author = " # Asma: test\n";

    std::string keysText(bool withKey = true, const std::string& limits = "rate=1000 burst=1000")
    {
        return "allowance tin " + limits + author + "allowance zinc" + author
            + (withKey ? "caller-key t account=tin token-sha256=" + sha256Hex("t") + author : std::string {})
            + "caller-key z account=zinc token-sha256=" + sha256Hex("z") + author;
    }

    std::string backendsText() { return "backend desk" + author + "backend lm slots=64 memory-tokens=100000" + author; }
    std::string planText(const std::string& fields) { return "forward plan host=h prefix=/plan/ kind=stream target=800ms gap=250ms attempts=2 resume=yes anonymous=no " + fields + author; }

    struct RuleChange {
        std::string name;
        std::string text; ///< The rules after the change.
    };

    // Rule sets that would refuse, shorten or reroute the request `/plan/1` of the account `tin` if it arrived later.
    std::vector<RuleChange> ruleChanges()
    {
        const std::string plan = planText("timeout=6s to=lm:1");
        std::string manyRoutes;
        for (int n = 0; n < 300; ++n)
            manyRoutes += "forward more" + std::to_string(n) + " host=h prefix=/more" + std::to_string(n) + "/ kind=once timeout=1s to=desk:1" + author;
        return {
            { "key revoked", backendsText() + plan + keysText(false) },
            { "account removed", backendsText() + plan + "allowance zinc" + author + "caller-key z account=zinc token-sha256=" + sha256Hex("z") + author },
            { "no account left", backendsText() + plan },
            { "allowance lowered", backendsText() + plan + keysText(true, "rate=1 burst=1") },
            { "route removed", backendsText() + "forward book host=h prefix=/book/ kind=once timeout=1s to=desk:1" + author + keysText() },
            { "route moved", backendsText() + planText("timeout=6s to=desk:1") + keysText() },
            { "route split", backendsText() + planText("timeout=6s to=desk:99,lm:1") + keysText() },
            { "timeout shortened", backendsText() + planText("timeout=1s to=lm:1") + keysText() },
            { "backend removed", "backend desk" + author + planText("timeout=6s to=desk:1") + keysText() },
            { "intake limits lowered", backendsText() + plan + keysText() + "intake all header-bytes=1024 body-bytes=1KB header-timeout=100ms idle-timeout=100ms" + author },
            { "routes added", backendsText() + plan + keysText() + manyRoutes },
        };
    }

    struct ChangingNode : ForwardNode {
        ChangingNode()
        {
            useRules(backendsText() + planText("timeout=6s to=lm:1") + keysText());
            addUpstream("r1", "lm");
            addUpstream("r2", "lm");
            addUpstream("d1", "desk");
            allowRetries(10);
        }

        void postPlan() { post("/plan/1", { { "Authorization", "Bearer t" } }); }

        // Advances while the engine sends an event every 200 ms, as in a stream without pauses.
        void streamFor(TimeMs time)
        {
            for (const TimeMs until = now + time; now < until;) {
                advance(200_ms);
                body("id: " + std::to_string(++events) + "\ndata: x\n\n");
            }
        }

        int events = 0;
    };

}

BOOST_AUTO_TEST_SUITE(ForwardChanges)

// Guards against changes of the rules that end or reroute a request admitted under the earlier ones, in each stage of the request.
BOOST_AUTO_TEST_CASE(AdmittedStreamIsCompletedUnderItsOwnRules)
{
    for (const auto& change : ruleChanges()) {
        for (const auto stage : { ForwardStage::Connecting, ForwardStage::Sent, ForwardStage::Answering, ForwardStage::Waiting }) {
            BOOST_TEST_CONTEXT(change.name << " in stage " << nameOf(stage))
            {
                ChangingNode entry;
                entry.postPlan();
                BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 1U);
                if (stage == ForwardStage::Connecting)
                    entry.useRules(change.text);
                entry.sending();
                if (stage == ForwardStage::Sent)
                    entry.useRules(change.text);
                entry.advance(400_ms);
                if (stage == ForwardStage::Waiting) {
                    // An unusable answer, after which the node waits before it sends the request again.
                    entry.head(200, {}, false);
                    entry.useRules(change.text);
                    entry.advance(500_ms);
                    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), 2U);
                    entry.sending();
                }
                entry.head(200);
                entry.streamFor(1000_ms);
                if (stage == ForwardStage::Answering)
                    entry.useRules(change.text);
                entry.streamFor(1000_ms);
                // The upstream is lost; the stream resumes at the other upstream of the same backend.
                const auto before = entry.dispatches.size();
                if (stage != ForwardStage::Waiting) {
                    entry.fail(UpstreamFailure::Closed);
                    BOOST_REQUIRE_EQUAL(entry.dispatches.size(), before + 1);
                    BOOST_CHECK(entry.last().address != entry.dispatches.front().address);
                    BOOST_CHECK_EQUAL(findHeader(entry.last().request.headers, entry.names.account), "tin");
                    entry.sending();
                    entry.head(200);
                }
                entry.streamFor(1000_ms);
                entry.end();
                BOOST_CHECK_EQUAL(entry.answer().first, 200);
                BOOST_CHECK_EQUAL(static_cast<int>(entry.answers.back().part), static_cast<int>(AnswerPart::End));
                BOOST_CHECK(entry.node->forward.calls.empty());
            }
        }
    }
}

// Guards against a new timeout that applies to requests in flight, and against an earlier one that never ends them.
BOOST_AUTO_TEST_CASE(RequestInFlightKeepsItsTimeout)
{
    for (const std::string timeout : { "1s", "30s" }) {
        ChangingNode entry;
        entry.postPlan();
        entry.sending();
        entry.head(200);
        entry.useRules(backendsText() + planText("timeout=" + timeout + " to=lm:1") + keysText());
        entry.streamFor(5800_ms);
        BOOST_CHECK_EQUAL(entry.answer().first, 200);
        entry.advance(300_ms);
        BOOST_CHECK_EQUAL(entry.answer().first, 1);
    }
}

// Guards against changes in quick succession that end requests in flight, or that leave an earlier revision in force.
BOOST_AUTO_TEST_CASE(QuickSuccessionOfChangesKeepsRequests)
{
    ChangingNode entry;
    entry.postPlan();
    entry.sending();
    entry.head(200);
    const auto changes = ruleChanges();
    for (int n = 0; n < 44; ++n) {
        entry.useRules(changes[static_cast<size_t>(n) % changes.size()].text);
        entry.advance(20_ms);
        if (n % 10 == 9)
            entry.body("id: " + std::to_string(n) + "\ndata: x\n\n");
    }
    entry.end();
    BOOST_CHECK_EQUAL(entry.answer().first, 200);
    entry.useRules(changes.front().text);
    entry.postPlan();
    BOOST_CHECK_EQUAL(entry.answer().first, 401);
}

// Guards against taking a stall of this process for silence of its upstreams: the first step after it brings one event, while the
// bytes of other upstreams still wait to be read.
BOOST_AUTO_TEST_CASE(StallOfTheProcessIsNotSilenceOfUpstreams)
{
    for (const TimeMs stall : { 300_ms, 1100_ms, 3000_ms }) {
        BOOST_TEST_CONTEXT("stall of " << stall.value << " ms")
        {
            ForwardNode entry;
            entry.addUpstream("r1", "lm");
            entry.addUpstream("r2", "lm");
            entry.addUpstream("d1", "desk");
            entry.addUpstream("d2", "desk");
            entry.allowRetries(10);
            entry.post("/look/1");
            const DispatchId look = entry.last().dispatch;
            entry.sending();
            entry.post("/plan/1");
            const DispatchId plan = entry.last().dispatch;
            entry.sending();
            entry.head(200);
            entry.body("id: 1\ndata: a\n\n");
            entry.post("/ask/1");
            entry.sending();
            entry.advance(100_ms);
            entry.now += stall;
            entry.head(200);
            BOOST_CHECK(entry.cancels.empty());
            // The bytes that arrived during the stall are read after that.
            Inputs inputs;
            inputs.events.push_back({ .dispatch = plan, .kind = UpstreamEventKind::Body, .bytes = "id: 2\ndata: b\n\n" });
            entry.run(std::move(inputs));
            inputs = {};
            inputs.events.push_back({ .dispatch = look, .kind = UpstreamEventKind::Head, .status = 200, .headers = { { entry.names.requestId, "r1" }, { entry.names.receipt, "proof" } } });
            inputs.events.push_back({ .dispatch = look, .kind = UpstreamEventKind::End });
            entry.run(std::move(inputs));
            entry.end();
            entry.advance(100_ms);
            BOOST_CHECK(entry.cancels.empty());
            BOOST_CHECK_EQUAL(entry.dispatches.size(), 3U);
            entry.advance(1100_ms);
            BOOST_CHECK_EQUAL(entry.cancels.size(), 1U);
        }
    }
}

// Guards against ending a request at its deadline while its answer, which arrived during a stall of the process, waits to be read.
BOOST_AUTO_TEST_CASE(AnswerThatArrivedDuringAStallIsForwarded)
{
    ForwardNode entry;
    entry.addUpstream("d1", "desk");
    entry.post("/book/1");
    const DispatchId first = entry.last().dispatch;
    entry.sending();
    entry.post("/book/2");
    entry.sending();
    entry.now += 1100_ms;
    entry.head(200);
    Inputs inputs;
    inputs.events.push_back({ .dispatch = first, .kind = UpstreamEventKind::Head, .status = 200, .headers = { { entry.names.requestId, "r1" }, { entry.names.receipt, "proof" } } });
    inputs.events.push_back({ .dispatch = first, .kind = UpstreamEventKind::End });
    entry.run(std::move(inputs));
    BOOST_REQUIRE(!entry.answers.empty());
    BOOST_CHECK_EQUAL(entry.answers.front().status, 200);
}

// Guards against a draining node whose process ends in the step of its last answer, before all bytes of it are written: the end of
// a stream is buffered while its last event is being written.
BOOST_AUTO_TEST_CASE(DrainingNodeStopsAfterItsLastAnswerIsWritten)
{
    ForwardNode entry;
    entry.node->options.settings.timings.entryValid = TimeMs { 1000 };
    entry.addUpstream("r1", "lm");
    Inputs inputs;
    inputs.drain = true;
    entry.run(std::move(inputs));
    entry.advance(2000_ms);
    BOOST_CHECK(entry.node->left);
    entry.post("/plan/1");
    entry.sending();
    entry.head(200);
    for (int n = 0; n < 10; ++n) {
        entry.advance(200_ms);
        entry.body("id: " + std::to_string(n) + "\ndata: x\n\n");
    }
    const auto stops = [&](Inputs more) {
        entry.now += 20_ms;
        Outputs outputs;
        step(*entry.node, entry.now, std::move(more), outputs);
        return outputs.stop;
    };
    inputs = {};
    inputs.events.push_back({ .dispatch = entry.last().dispatch, .kind = UpstreamEventKind::End });
    const bool stoppedWithTheAnswer = stops(std::move(inputs));
    BOOST_CHECK(!stoppedWithTheAnswer);
    BOOST_CHECK(entry.node->forward.calls.empty());
    TimeMs waited;
    while (waited < 1_s && !stops({}))
        waited += 20_ms;
    BOOST_CHECK(waited >= 100_ms);
    BOOST_CHECK(waited < 500_ms);
}

BOOST_AUTO_TEST_SUITE_END()

}
