#include "limits/ClassQueue.h"
#include "limits/Retry.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

using namespace siskinshunt;

static QueuedCall call(uint64_t id, const std::string& account, TimeMs deadline, int priority = 5)
{
    return { .call = { id }, .account = account, .className = "class-" + std::to_string(priority), .priority = priority, .deadline = deadline, .service = 100_ms, .bytes = 100 };
}

// Guards against the wrong order: class priority first, then deadline.
BOOST_AUTO_TEST_CASE(priorityThenDeadline)
{
    CallQueue queue;
    std::vector<RefusedCall> refused;
    enqueue(queue, call(1, "a", 50_s, 5), 0_s, refused);
    enqueue(queue, call(2, "a", 20_s, 5), 0_s, refused);
    enqueue(queue, call(3, "a", 90_s, 0), 0_s, refused);
    std::vector<uint64_t> order;
    while (const auto it = dequeue(queue, 1_s, refused))
        order.push_back(it->call.value);
    BOOST_TEST((order == std::vector<uint64_t> { 3, 2, 1 }));
    BOOST_TEST(refused.empty());
}

// Guards against a large account that starves small ones: checks the fairness bound documented at ClassQueue.
BOOST_AUTO_TEST_CASE(servedWorkIsFair)
{
    Random random(3);
    CallQueue queue;
    std::vector<RefusedCall> refused;
    std::map<std::string, double> weights { { "large", 4 }, { "small", 1 }, { "tiny", 0.5 } };
    std::map<std::string, double> served;
    uint64_t id = 0;
    const auto add = [&](const std::string& account) {
        auto it = call(++id, account, TimeMs { 1000000 + static_cast<int64_t>(random.below(100000)) });
        it.weight = weights[account];
        it.cost = 1 + random.uniform() * 9;
        BOOST_TEST(enqueue(queue, it, 0_s, refused));
    };
    for (int n = 0; n < 300; ++n)
        add("large");
    for (int n = 0; n < 20; ++n) {
        add("small");
        add("tiny");
    }
    for (int n = 0; n < 3000; ++n) {
        const auto it = dequeue(queue, 1_s, refused);
        served[it->account] += it->cost;
        add(it->account); // All accounts stay backlogged.
        for (const auto& [a, aWeight] : weights) {
            for (const auto& [b, bWeight] : weights)
                BOOST_TEST(std::abs(served[a] / aWeight - served[b] / bWeight) <= 10 / aWeight + 10 / bWeight);
        }
    }
}

// Guards against a small account that waits behind the whole backlog of a large one.
BOOST_AUTO_TEST_CASE(smallAccountIsServedNext)
{
    CallQueue queue;
    std::vector<RefusedCall> refused;
    for (uint64_t n = 1; n <= 500; ++n)
        enqueue(queue, call(n, "large", 10_s), 0_s, refused);
    for (int n = 0; n < 50; ++n)
        dequeue(queue, 0_s, refused);
    enqueue(queue, call(1000, "small", 60_s), 0_s, refused);
    bool served = false;
    for (int n = 0; n < 2; ++n)
        served = served || dequeue(queue, 0_s, refused)->account == "small";
    BOOST_TEST(served);
}

// Guards against queues that exceed their bounds, and against a full queue that refuses calls of small accounts.
BOOST_AUTO_TEST_CASE(fullQueueMakesRoomForSmallAccounts)
{
    CallQueue queue;
    setQueueBounds(queue, "class-5", 5, { .requests = 10, .bytes = 5000 });
    std::vector<RefusedCall> refused;
    for (uint64_t n = 1; n <= 20; ++n)
        BOOST_TEST(enqueue(queue, call(n, "large", TimeMs { 50000 + static_cast<int64_t>(n) }), 0_s, refused) == (n <= 10));
    BOOST_TEST(refused.size() == 10U);
    BOOST_TEST((refused[0].reason == QueueRefusal::Full));
    refused.clear();
    BOOST_TEST(enqueue(queue, call(100, "small", 50_s), 0_s, refused));
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].reason == QueueRefusal::Displaced));
    BOOST_TEST(refused[0].call.value == 10U); // The call with the latest deadline.
    refused.clear();
    auto big = call(101, "small", 50_s);
    big.bytes = 4950;
    BOOST_TEST(!enqueue(queue, big, 0_s, refused));
    BOOST_TEST(refused.back().call.value == 101U);
    BOOST_TEST(removeCall(queue, { 100 }));
    BOOST_TEST(!removeCall(queue, { 100 }));
}

/// Dequeues `perTick` calls every 100 ms and keeps the queue filled from one account.
static uint64_t runBacklog(CallQueue& queue, TimeMs from, TimeMs until, int perTick, uint64_t id, std::vector<RefusedCall>& refused)
{
    for (TimeMs now = from; now < until; now += 100_ms) {
        for (int n = 0; n < perTick; ++n)
            dequeue(queue, now, refused);
        for (int n = 0; n < 2; ++n)
            enqueue(queue, call(++id, "a", now + 10_s), now, refused);
        tickQueue(queue, now, refused);
    }
    return id;
}

// Guards against queueing calls that cannot be served in time, and against a Retry-After that is too short.
BOOST_AUTO_TEST_CASE(callsThatMissTheirDeadlineAreRefused)
{
    CallQueue queue;
    std::vector<RefusedCall> refused;
    const uint64_t id = runBacklog(queue, 0_s, 20_s, 1, 0, refused);
    refused.clear();
    auto it = call(id + 1, "a", 22_s);
    BOOST_TEST(!enqueue(queue, it, 20_s, refused));
    BOOST_TEST((refused.back().reason == QueueRefusal::Late));
    const TimeMs back = refused.back().retryAfter;
    BOOST_TEST((back >= expectedWait(queue, 5, 1)));
    // Without new calls the backlog drains within the returned Retry-After.
    for (TimeMs now = 20_s; now < 20_s + back; now += 100_ms)
        dequeue(queue, now, refused);
    it.deadline = 20_s + back + 2_s;
    BOOST_TEST(enqueue(queue, it, 20_s + back, refused));
}

// Guards against keeping calls queued until shortly before their deadline while nothing is served.
BOOST_AUTO_TEST_CASE(stalledQueueRefusesCallsEarly)
{
    CallQueue queue;
    std::vector<RefusedCall> refused;
    const uint64_t id = runBacklog(queue, 0_s, 5_s, 1, 0, refused);
    refused.clear();
    for (uint64_t n = 1; n <= 60; ++n)
        enqueue(queue, call(id + n, "b", 35_s), 5_s, refused);
    refused.clear();
    for (TimeMs now = 5_s; now < 20_s; now += 100_ms)
        tickQueue(queue, now, refused);
    // All calls except the first few in the queue are refused 15 s before their deadline.
    BOOST_TEST(refused.size() >= 55U);
}

// Guards against dispatching calls that can no longer meet their deadline.
BOOST_AUTO_TEST_CASE(lateCallsAreNotDispatched)
{
    CallQueue queue;
    std::vector<RefusedCall> refused;
    enqueue(queue, call(1, "a", 1_s), 0_s, refused);
    enqueue(queue, call(2, "a", 9_s), 0_s, refused);
    BOOST_TEST(dequeue(queue, 5_s, refused)->call.value == 2U);
    BOOST_REQUIRE(refused.size() == 1U);
    BOOST_TEST((refused[0].reason == QueueRefusal::Late));
}

// Guards against a retry storm after a wave of reclaims: retries stay within the budget however many calls fail.
BOOST_AUTO_TEST_CASE(retryStormStaysWithinTheBudget)
{
    RetryBudget budget;
    const RetryRule rule { .budget = 0.1, .attempts = 3 };
    Random random(1);
    int retries = 0;
    for (int n = 0; n < 1000; ++n) {
        creditRetryBudget(budget, rule);
        for (int attempts = 1; attempts < 3; ++attempts)
            retries += decideRetry(budget, rule, { .attempts = attempts, .deadline = 60_s, .service = 1_s }, 0_s, random).verdict == RetryVerdict::Retry ? 1 : 0;
    }
    BOOST_TEST(retries <= 1000 * 0.1 + 3);
    BOOST_TEST(retries >= 100);
}

// Guards against repeating a call that must run at most once, by retry or by hedge.
BOOST_AUTO_TEST_CASE(onceCallsAreNeverRepeated)
{
    RetryBudget budget;
    const RetryRule rule { .hedge = true };
    Random random(1);
    FailedAttempt failed { .repeat = Repeat::Once, .possiblySent = true, .deadline = 60_s };
    BOOST_TEST((decideRetry(budget, rule, failed, 0_s, random).verdict == RetryVerdict::NotRepeatable));
    failed.possiblySent = false;
    BOOST_TEST((decideRetry(budget, rule, failed, 0_s, random).verdict == RetryVerdict::Retry));
    BOOST_TEST(!hedgeDelay(budget, rule, Repeat::Once, 100_ms));
    BOOST_TEST(bool(hedgeDelay(budget, rule, Repeat::Yes, 100_ms)));
    failed.deadline = 10_ms;
    BOOST_TEST((decideRetry(budget, rule, failed, 0_s, random).verdict == RetryVerdict::PastDeadline));
}

// Guards against backoff delays without jitter or above the cap.
BOOST_AUTO_TEST_CASE(backoffIsJitteredAndCapped)
{
    Random random(1);
    const RetryRule rule { .base = 25_ms, .cap = 300_ms };
    for (int attempts = 1; attempts < 40; ++attempts) {
        const int64_t full = std::min<int64_t>(300, int64_t { 25 } << std::min(attempts - 1, 10));
        int64_t low = full;
        int64_t high = 0;
        for (int n = 0; n < 50; ++n) {
            const TimeMs delay = backoffDelay(rule, attempts, random);
            low = std::min(low, delay.value);
            high = std::max(high, delay.value);
        }
        BOOST_TEST(low >= full / 2);
        BOOST_TEST(high <= full);
        BOOST_TEST(high > low);
    }
}
