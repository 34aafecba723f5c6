#include "ForwardFixture.h"

#include <algorithm>

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(ForwardReview)

static void announceAt(ForwardNode& entry, const std::string& name, const std::string& address, uint64_t incarnation)
{
    Announcement announced;
    announced.name = name;
    announced.address = address;
    announced.domain = "a";
    announced.model = "desk";
    announced.version = "v1";
    announced.incarnation = incarnation;
    announced.sequence = ++entry.announcements;
    announced.load.capacity = 4;
    announce(entry.node->membership, entry.now, announced, entry.node->membershipOutputs);
    entry.run({});
}

// Guards against two concurrent runs of a stream when this node has closed the first one itself and has no permit for the next one
// at that moment.
BOOST_AUTO_TEST_CASE(WaitForAPermitIncludesTheTimeToStop)
{
    ForwardNode entry;
    entry.addUpstream("r1", "lm");
    entry.addUpstream("r2", "lm");
    entry.allowRetries(0);
    entry.post("/plan/1");
    entry.sending();
    entry.head(200);
    entry.body("id: 1\ndata: a\n\n");
    entry.fail(UpstreamFailure::Malformed);
    entry.allowRetries(2);
    entry.advance(400_ms);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 1U);
    entry.advance(100_ms);
    BOOST_CHECK_EQUAL(entry.dispatches.size(), 2U);
}

// Guards against requests on pooled connections to an upstream that is gone: another upstream holds its address now.
BOOST_AUTO_TEST_CASE(NewHolderOfAnAddressDiscardsItsPool)
{
    ForwardNode entry;
    announceAt(entry, "d1", "127.0.0.2:9500", 1);
    entry.discardedPools.clear();
    announceAt(entry, "d2", "127.0.0.2:9500", 2);
    BOOST_CHECK_EQUAL(std::count(entry.discardedPools.begin(), entry.discardedPools.end(), "127.0.0.2:9500"), 1);
}

// Guards against an upstream that is seen but gets no work because a silent one with a later incarnation had the same address.
BOOST_AUTO_TEST_CASE(SilentUpstreamDoesNotHoldAnAddress)
{
    ForwardNode entry;
    announceAt(entry, "d1", "127.0.0.2:9500", 5);
    entry.advance(4_s);
    size_t sentToLive = 0;
    for (int n = 0; n < 8; ++n) {
        announceAt(entry, "d2", "127.0.0.2:9500", 1);
        announceAt(entry, "d3", "127.0.0.2:9501", 1);
        entry.post("/book/1");
        sentToLive += findHeader(entry.last().request.headers, entry.names.target) == "d2" ? 1 : 0;
    }
    BOOST_CHECK_GT(sentToLive, 0U);
}

// Guards against sending request after request to an upstream that does not answer: its silence counts against it although no
// retry is possible.
BOOST_AUTO_TEST_CASE(SilenceCountsWithoutARetry)
{
    for (const std::string path : { "/look/1", "/book/1" }) {
        ForwardNode entry;
        entry.allowRetries(0);
        size_t sentToSilent = 0;
        size_t sentAtTheEnd = 0;
        for (int n = 0; n < 60; ++n) {
            announceAt(entry, "d1", "127.0.0.2:9500", 1);
            announceAt(entry, "d2", "127.0.0.2:9501", 1);
            entry.post(path);
            const bool toSilent = findHeader(entry.last().request.headers, entry.names.target) == "d1";
            entry.sending();
            if (!toSilent) {
                entry.head(200);
                entry.end();
            }
            sentToSilent += toSilent ? 1 : 0;
            sentAtTheEnd += toSilent && n >= 40 ? 1 : 0;
            entry.advance(1200_ms);
        }
        BOOST_REQUIRE_GE(sentToSilent, 8U);
        BOOST_CHECK_LT(sentAtTheEnd, 6U);
    }
}

// Guards against excluding a restarted upstream for an answer that was given at the address of its former incarnation.
BOOST_AUTO_TEST_CASE(MisdirectedAnswerConcernsTheIncarnationThatWasSentTo)
{
    ForwardNode entry;
    announceAt(entry, "d1", "127.0.0.2:9500", 1);
    entry.post("/book/1");
    entry.sending();
    announceAt(entry, "d1", "127.0.0.2:9501", 2);
    entry.head(421, {}, false);
    entry.advance(100_ms);
    const size_t before = entry.dispatches.size();
    entry.post("/book/2");
    BOOST_CHECK_EQUAL(entry.dispatches.size(), before + 1);
}

// Guards against permits that nothing can use: a backend without resumable streams has no answers in progress to reserve them for.
BOOST_AUTO_TEST_CASE(NothingIsReservedWithoutResumableStreams)
{
    ForwardNode entry;
    for (const std::string name : { "d1", "d2", "d3" })
        entry.addUpstream(name, "desk");
    entry.allowRetries(10);
    size_t retries = 0;
    for (int n = 0; n < 14; ++n) {
        entry.post("/look/1");
        entry.sending();
        const size_t before = entry.dispatches.size();
        entry.head(503, { { entry.names.notRun, "1" } }, false);
        if (entry.dispatches.size() == before)
            continue;
        ++retries;
        entry.sending();
        entry.head(200);
        entry.end();
    }
    BOOST_CHECK_EQUAL(retries, 10U);
}

// Guards against withdrawing observations after a stall of the process before the announcements that have arrived are read.
BOOST_AUTO_TEST_CASE(StallOfTheProcessIsNotSilenceOfAnnouncements)
{
    ForwardNode entry;
    announceAt(entry, "d1", "127.0.0.2:9500", 1);
    entry.advance(1_s);
    entry.now += 4_s;
    entry.post("/unknown/1");
    const Upstream* upstream = findUpstream(entry.node->membership.upstreams, idOfName<UpstreamId>("d1"));
    BOOST_REQUIRE(upstream);
    BOOST_CHECK(upstream->local);
}

BOOST_AUTO_TEST_SUITE_END()

}
