#include "limits/Limiter.h"

#include "base/Random.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

// Guards against refilling a bucket beyond its burst, and against a wait time that is too short.
BOOST_AUTO_TEST_CASE(bucketRefillsToItsBurst)
{
    TokenBucket bucket { .rate = 10, .burst = 5, .tokens = 5 };
    for (int n = 0; n < 5; ++n)
        BOOST_TEST(tryConsume(bucket, 1, 0_s));
    BOOST_TEST(!tryConsume(bucket, 1, 0_s));
    const TimeMs wait = timeUntilAvailable(bucket, 1, 0_s);
    BOOST_TEST(!tryConsume(bucket, 1, wait - 1_ms));
    BOOST_TEST(tryConsume(bucket, 1, wait));
    int taken = 0;
    while (tryConsume(bucket, 1, 1000_s))
        ++taken;
    BOOST_TEST(taken == 5);
}

struct LeaseFleet {
    LeaseOptions options;
    LeaseGrantor grantor { .options = options, .startedAt = { -100000 } };
    std::vector<LeaseHolder> holders;

    explicit LeaseFleet(size_t nodes)
        : holders(nodes)
    {
        for (auto& it : holders)
            recordNodeCount(it, static_cast<uint32_t>(nodes));
    }

    double sum(TimeMs now) const
    {
        double out = 0;
        for (const auto& it : holders)
            out += shareInForce(it, now);
        return out;
    }

    /// One tick; `loss` is the probability that a request or a grant is lost.
    void tick(TimeMs now, const std::vector<double>& demand, double loss, Random& random)
    {
        for (size_t n = 0; n < holders.size(); ++n) {
            recordDemand(holders[n], demand[n] * 0.1);
            LeaseRequest request;
            if (!nextRequest(holders[n], options, { n + 1 }, "key", now, request) || random.chance(loss))
                continue;
            const auto it = grant(grantor, request, now);
            if (it && !random.chance(loss))
                handleGrant(holders[n], *it, now);
        }
    }
};

// Guards against shares that do not follow a shift of demand between nodes.
BOOST_AUTO_TEST_CASE(sharesFollowDemand)
{
    LeaseFleet fleet(5);
    Random random(1);
    TimeMs now;
    for (; now < 10_s; now += 100_ms)
        fleet.tick(now, { 100, 0, 0, 0, 0 }, 0, random);
    BOOST_TEST(shareInForce(fleet.holders[0], now) > 0.9);
    for (; now < 15_s; now += 100_ms)
        fleet.tick(now, { 0, 0, 0, 50, 50 }, 0, random);
    BOOST_TEST(shareInForce(fleet.holders[0], now) < 0.1);
    BOOST_TEST(shareInForce(fleet.holders[3], now) > 0.4);
}

// Guards against shares that sum to more than leaseOvershoot while messages are lost, the grantor does not answer, or a new
// grantor starts without state.
BOOST_AUTO_TEST_CASE(sharesStayBoundedDespiteLoss)
{
    for (uint64_t seed = 1; seed <= 20; ++seed) {
        LeaseFleet fleet(6);
        Random random(seed);
        std::vector<double> demand(6);
        for (TimeMs now; now < 120_s; now += 100_ms) {
            if (now.value % 5000 == 0) {
                for (auto& it : demand)
                    it = random.chance(0.3) ? random.uniform() * 200 : 0;
            }
            if (now == 40_s || now == 41_s || now == 80_s)
                fleet.grantor = { .options = fleet.options, .startedAt = now };
            const bool silent = now > 60_s && now < 75_s;
            fleet.tick(now, demand, silent ? 1 : 0.3, random);
            BOOST_TEST(fleet.sum(now) <= leaseOvershoot + 1e-9);
        }
    }
}

// Guards against a limit that refuses every call, or applies in full at each node, while the grantor does not answer.
BOOST_AUTO_TEST_CASE(fallbackShareAppliesWithoutGrantor)
{
    LeaseFleet fleet(4);
    Random random(1);
    for (TimeMs now; now < 5_s; now += 100_ms)
        fleet.tick(now, { 100, 0, 0, 0 }, 0, random);
    for (TimeMs now = 5_s; now < 10_s; now += 100_ms)
        fleet.tick(now, { 100, 0, 0, 0 }, 1, random);
    BOOST_TEST(fleet.sum(10_s) == 1.0);
    BOOST_TEST(shareInForce(fleet.holders[0], 10_s) == 0.25);
}

// Guards against applying a late grant after the holder has reported a smaller share.
BOOST_AUTO_TEST_CASE(lateGrantsAreIgnored)
{
    LeaseOptions options;
    LeaseHolder holder;
    LeaseRequest first;
    LeaseRequest second;
    BOOST_TEST(nextRequest(holder, options, { 1 }, "key", 1_s, first));
    BOOST_TEST(nextRequest(holder, options, { 1 }, "key", 2_s, second));
    BOOST_TEST(!handleGrant(holder, { "key", first.sequence, 0.9, 3_s, 2 }, 2100_ms));
    BOOST_TEST(handleGrant(holder, { "key", second.sequence, 0.2, 3_s, 2 }, 2200_ms));
    BOOST_TEST(!handleGrant(holder, { "key", second.sequence, 0.9, 3_s, 2 }, 2300_ms));
    BOOST_TEST(shareInForce(holder, 4900_ms) == 0.2);
    BOOST_TEST(shareInForce(holder, 5_s) == 0.5);
}

static int admitted(Limiter& limiter, std::string_view account, int calls, TimeMs now)
{
    int out = 0;
    for (int n = 0; n < calls; ++n)
        out += admitCall(limiter, account, "crew", 10, now).verdict == LimitVerdict::Admitted ? 1 : 0;
    return out;
}

// Guards against one account consuming the limit of another, and against charging limits for refused calls.
BOOST_AUTO_TEST_CASE(limitsApplyPerAccountAndClass)
{
    Limiter limiter;
    setLimits(limiter, { { .name = "all", .rate = 10, .burst = 5, .concurrent = 8 }, { .name = "big", .account = "depot", .rate = 100, .burst = 2 } }, 0_s);
    BOOST_TEST(admitted(limiter, "depot", 20, 0_s) == 2);
    BOOST_TEST(admitted(limiter, "crew", 20, 0_s) == 5);
    const auto refused = admitCall(limiter, "crew", "crew", 10, 0_s);
    BOOST_TEST((refused.verdict == LimitVerdict::OverRate));
    BOOST_TEST((refused.retryAfter == 100_ms));
    BOOST_TEST((admitCall(limiter, "crew", "crew", 10, refused.retryAfter).verdict == LimitVerdict::Admitted));
    BOOST_TEST(admitted(limiter, "crew", 20, 10_s) == 2);
    BOOST_TEST((admitCall(limiter, "crew", "crew", 10, 20_s).verdict == LimitVerdict::OverConcurrent));
    finishCall(limiter, "crew", "crew", 100, 20_s);
    BOOST_TEST((admitCall(limiter, "crew", "crew", 10, 20_s).verdict == LimitVerdict::Admitted));
}

// Guards against output tokens that are not charged to the token limit.
BOOST_AUTO_TEST_CASE(answerTokensAreCharged)
{
    Limiter limiter;
    setLimits(limiter, { { .name = "tokens", .tokensPerSecond = 1000 } }, 0_s);
    BOOST_TEST((admitCall(limiter, "a", "c", 500, 0_s).verdict == LimitVerdict::Admitted));
    finishCall(limiter, "a", "c", 2500, 0_s);
    const auto refused = admitCall(limiter, "a", "c", 500, 1_s);
    BOOST_TEST((refused.verdict == LimitVerdict::OverTokens));
    BOOST_TEST((admitCall(limiter, "a", "c", 500, 1_s + refused.retryAfter).verdict == LimitVerdict::Admitted));
}

// Guards against refusals at nodes without recent demand while the fleet is far below its limit: with shares proportional to
// demand alone, eight nodes refused 6 of 300 calls at a fifth of the limit.
BOOST_AUTO_TEST_CASE(idleNodesAdmitCallsBelowTheLimit)
{
    constexpr size_t nodes = 8;
    LeaseGrantor grantor { .options = {}, .startedAt = { -100000 }, .nodes = nodes };
    std::vector<Limiter> limiters(nodes);
    const LimitRule rule { .name = "office", .account = "office", .className = "*", .rate = 20, .burst = 40, .concurrent = 60 };
    Random random(1);
    int refused = 0;
    int admitted = 0;
    for (auto& it : limiters) {
        it.nodes = nodes;
        setLimits(it, { rule }, 0_s);
    }
    for (TimeMs now; now < 120_s; now += 100_ms) {
        // 4 calls per second at random nodes; each call ends before the next tick.
        if (random.chance(0.4)) {
            auto& limiter = limiters[random.below(nodes)];
            const bool ok = admitCall(limiter, "office", "drafts", 100, now).verdict == LimitVerdict::Admitted;
            ++(ok ? admitted : refused);
            if (ok)
                finishCall(limiter, "office", "drafts", 50, now);
        }
        for (size_t n = 0; n < nodes; ++n) {
            for (const auto& request : leaseRequests(limiters[n], { n + 1 }, now)) {
                if (const auto given = grant(grantor, request, now))
                    handleLeaseGrant(limiters[n], *given, now);
            }
        }
    }
    BOOST_TEST(refused == 0);
    BOOST_TEST(admitted > 300);
}
