#include "ForwardFixture.h"

namespace siskinshunt {

namespace {

    struct TwoDesks : ForwardNode {
        TwoDesks()
        {
            addUpstream("d1", "desk");
            addUpstream("d2", "desk");
        }

        // Sends a request and answers it; returns the name of the upstream.
        std::string exchangeWith(uint16_t status, HttpHeaders more = {})
        {
            post("/look/1", { { names.timeLeft, "5000" } });
            sending();
            std::string upstream(findHeader(last().request.headers, names.target));
            head(status, std::move(more));
            end();
            return upstream;
        }

        // Lets the time pass while the upstreams announce themselves.
        void pass(TimeMs time)
        {
            for (const TimeMs until = now + time; now < until; advance(500_ms)) {
                for (const auto& name : { "d1", "d2" }) {
                    Announcement announced = findUpstream(node->membership.upstreams, idOfName<UpstreamId>(name))->announced;
                    ++announced.sequence;
                    announce(node->membership, now, announced, node->membershipOutputs);
                }
            }
        }

        // Number of requests, of twenty, that are sent to the upstream.
        int countSentTo(const std::string& name)
        {
            int sent = 0;
            for (int n = 0; n < 20; ++n)
                sent += exchangeWith(200) == name ? 1 : 0;
            return sent;
        }
    };

}

BOOST_AUTO_TEST_SUITE(UpstreamHeaders)

// Guards against requests that still go to an upstream which says in its answers that it leaves, when its announcement does not reach
// this node.
BOOST_AUTO_TEST_CASE(LeavingInAnAnswerStopsRequests)
{
    TwoDesks it;
    const std::string leaving = it.exchangeWith(200, { { it.names.leaving, "1" } });
    BOOST_CHECK_EQUAL(it.answer().first, 200);
    BOOST_CHECK_EQUAL(it.countSentTo(leaving), 0);
    // Longer than leaving notices are kept.
    it.pass(70_s);
    BOOST_CHECK_EQUAL(it.countSentTo(leaving), 0);
    it.addUpstream(leaving, "desk", 2);
    BOOST_CHECK_GT(it.countSentTo(leaving), 0);
}

// Guards against the word of an upstream that has taken over the address.
BOOST_AUTO_TEST_CASE(LeavingInAMisdirectedAnswerIsIgnored)
{
    TwoDesks it;
    it.post("/look/1", { { it.names.timeLeft, "5000" } });
    it.sending();
    const std::string upstream(findHeader(it.last().request.headers, it.names.target));
    it.head(421, { { it.names.leaving, "1" } });
    BOOST_CHECK(!findTarget(it.node->forward.targets, idOfName<UpstreamId>(upstream))->leaving);
}

// Guards against requests that go on to an upstream which has turned one away with 503 and a time to come back.
BOOST_AUTO_TEST_CASE(RetryAfterOfARefusalIsHonoured)
{
    TwoDesks it;
    const std::string full = it.exchangeWith(503, { { it.names.notRun, "1" }, { "Retry-After", "4" } });
    it.pass(1_s);
    BOOST_CHECK_EQUAL(it.countSentTo(full), 0);
    it.pass(2_s);
    BOOST_CHECK_EQUAL(it.countSentTo(full), 0);
    it.pass(2_s);
    BOOST_CHECK_GT(it.countSentTo(full), 0);
}

// Guards against a request that is sent to an upstream which wants none only because there is no other, and against a refusal without
// the time to come back.
BOOST_AUTO_TEST_CASE(RequestsAreRefusedWhileAllUpstreamsWantNone)
{
    ForwardNode it;
    it.addUpstream("d1", "desk");
    it.post("/look/1", { { it.names.timeLeft, "5000" } });
    it.sending();
    it.head(503, { { "Retry-After", "3.5" } });
    it.end();
    const size_t sent = it.dispatches.size();
    it.advance(1_s);
    it.post("/look/1", { { it.names.timeLeft, "5000" } });
    BOOST_CHECK_EQUAL(it.dispatches.size(), sent);
    BOOST_CHECK_EQUAL(it.answer().first, 503);
    const auto& headers = it.answers.back().headers;
    const double seconds = std::stod(std::string(findHeader(headers, "Retry-After")));
    BOOST_CHECK(seconds > 2 && seconds <= 2.6);
}

BOOST_AUTO_TEST_SUITE_END()

}
