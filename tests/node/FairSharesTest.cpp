#include "EntryFleet.h"
#include "ForwardFixture.h"

#include "node/FairShares.h"
#include "wire/Codec.h"

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(FairShares)

namespace {

    // One entry node in front of engines; its callers have no account.
    struct SharingNode : ForwardNode {
        SharingNode()
        {
            addUpstream("lm-1", "lm");
            addUpstream("lm-2", "lm");
        }

        // As a hub sends it: the part of the work of requests without an account that is admitted.
        void receivePart(uint8_t part)
        {
            AccountSharesFrame frame;
            frame.backends.push_back({ .backend = "lm", .parts = {} });
            frame.backends.back().parts[""].fill(part);
            node->now = now;
            receiveAccountShares(*node, NodeId { 7 }, encode(frame));
        }

        const Answer* answerOf(ExchangeId exchange) const
        {
            const auto it = std::find_if(answers.begin(), answers.end(), [&](const auto& answer) { return answer.exchange == exchange; });
            return it == answers.end() ? nullptr : &*it;
        }
    };

}

// Guards against limits while no hub has sent any.
BOOST_AUTO_TEST_CASE(NothingIsRefusedWithoutShares)
{
    SharingNode it;
    for (int n = 0; n < 40; ++n)
        it.post("/ask/1");
    BOOST_CHECK_EQUAL(it.dispatches.size(), 40U);
}

// Guards against refusals that do not say when to return, or that say the same time to all.
BOOST_AUTO_TEST_CASE(RequestsOverTheShareAreRefusedWithATimeToReturn)
{
    SharingNode it;
    it.receivePart(0);
    double last = 0;
    for (int n = 0; n < 5; ++n) {
        HttpHeaders headers;
        headers.emplace_back(it.names.tokens, "4000,100");
        const auto exchange = it.post("/ask/" + std::to_string(n), std::move(headers));
        const Answer* answer = it.answerOf(exchange);
        BOOST_REQUIRE(answer);
        BOOST_CHECK_EQUAL(answer->status, 503);
        BOOST_CHECK(answer->body.find("over_share") != std::string::npos);
        const double wait = parseDecimal(findHeader(answer->headers, "Retry-After")).value_or(0);
        BOOST_CHECK_GE(wait, std::max(0.1, last));
        last = wait;
    }
    BOOST_CHECK(it.dispatches.empty());
    BOOST_CHECK_EQUAL(it.logged("account_limited", "account"), "");
    BOOST_CHECK_EQUAL(it.node->counters.all().at("forward_over_share"), 5U);
}

// Guards against limits that a hub which has gone leaves behind.
BOOST_AUTO_TEST_CASE(SharesExpireWithoutReports)
{
    SharingNode it;
    it.receivePart(0);
    it.post("/ask/1");
    BOOST_CHECK(it.dispatches.empty());
    it.advance(1100_ms);
    it.post("/ask/2");
    BOOST_CHECK_EQUAL(it.dispatches.size(), 1U);
}

// Guards against refused retries: the request may have run already, and its caller has been waiting.
BOOST_AUTO_TEST_CASE(RetriesAreNotRefused)
{
    SharingNode it;
    it.allowRetries(10);
    it.post("/plan/1");
    BOOST_REQUIRE_EQUAL(it.dispatches.size(), 1U);
    it.sending();
    it.receivePart(0);
    it.fail(UpstreamFailure::Closed);
    it.advance(200_ms);
    it.receivePart(0);
    it.advance(200_ms);
    BOOST_CHECK_EQUAL(it.dispatches.size(), 2U);
}

namespace {

    // Entry nodes, with load hubs, in front of engines.
    struct SharingFleet : EntryFleet {
        SharingFleet()
            : EntryFleet(20, 5, 2)
        {
            const std::string author = " # Asma: shares\n";
            configure(1, "backend hire-desk slots=64 memory-tokens=1000000" + author + "forward ask host=h prefix=/ask/ kind=stream timeout=9s target=500ms gap=250ms attempts=1 resume=no anonymous=yes to=hire-desk:1" + author);
            fleet.runFor(3_s);
            for (const char* name : { "desk-0", "desk-1" })
                fleet.upstream(name).latency = 3_s;
            fleet.forwardAnswer = [](size_t, const UpstreamDispatch& it) { return HttpHeaders { { HeaderNames {}.requestId, it.idValue }, { HeaderNames {}.receipt, "proof" } }; };
        }

        void post(int count, const std::string& tokens, TimeMs pause)
        {
            for (int n = 0; n < count; ++n) {
                const std::string id = "r" + std::to_string(++posted);
                fleet.post(controls + static_cast<size_t>(posted * 7 % 20), { "GET", "/ask/" + id, { { "Host", "h" }, { HeaderNames {}.requestId, id }, { HeaderNames {}.tokens, tokens } }, {} }, ListenerKind::Forward);
                fleet.runFor(pause);
            }
        }

        size_t limitedNodes()
        {
            size_t out = 0;
            for (size_t n = controls; n < fleet.nodes.size(); ++n) {
                auto& limiters = fleet.nodes[n].node->forward.fair.limiters;
                const auto it = limiters.find("hire-desk");
                out += it != limiters.end() && isLimited(it->second, fleet.nodes[n].node->now, "") ? 1 : 0;
            }
            return out;
        }

        int posted = 0;
    };

}

// Guards against limits on engines that have room.
BOOST_AUTO_TEST_CASE(NobodyIsLimitedWhileEnginesHaveRoom)
{
    SharingFleet it;
    it.post(40, "100,10", 50_ms);
    BOOST_CHECK_EQUAL(it.limitedNodes(), 0U);
}

// Guards against demand that does not reach the hub, or shares that do not reach the nodes.
BOOST_AUTO_TEST_CASE(NodesLimitAnAccountAboveItsShare)
{
    SharingFleet it;
    it.post(200, "9000,10", 10_ms);
    BOOST_CHECK_EQUAL(it.limitedNodes(), 20U);
    it.fleet.runFor(6_s);
    BOOST_CHECK_EQUAL(it.limitedNodes(), 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}
