#include "limits/ClassQueue.h"

#include "base/Invariant.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

namespace {
    constexpr double minCost = 1e-3;

    ClassQueue& classQueueFor(CallQueue& queue, const QueuedCall& call)
    {
        auto& out = queue.classes[{ call.priority, call.className }];
        out.name = call.className;
        out.priority = call.priority;
        return out;
    }

    QueuedCall extractCall(ClassQueue& queue, AccountQueue& account, std::map<std::pair<int64_t, uint64_t>, QueuedCall>::iterator it)
    {
        QueuedCall call = std::move(it->second);
        account.calls.erase(it);
        account.bytes -= call.bytes;
        queue.bytes -= call.bytes;
        queue.cost = std::max(0.0, queue.cost - call.cost);
        --queue.requests;
        return call;
    }

    /// Removes accounts without waiting calls whose virtual start time has passed, so that the table stays bounded.
    void eraseIdleAccounts(ClassQueue& queue)
    {
        std::erase_if(queue.accounts, [&](const auto& it) { return it.second.calls.empty() && (it.second.virtualStart <= queue.virtualNow || !queue.requests); });
        if (!queue.requests) {
            queue.virtualNow = 0;
            queue.cost = 0;
        }
    }

    bool fits(const ClassQueue& queue, uint64_t bytes)
    {
        return queue.requests < queue.bounds.requests && queue.bytes + bytes <= queue.bounds.bytes;
    }

    /// Fraction of the queue used by an account (the larger of its fractions of requests and bytes), divided by its weight.
    double occupancy(const ClassQueue& queue, const AccountQueue& account, uint64_t extraRequests, uint64_t extraBytes)
    {
        const double requests = static_cast<double>(account.calls.size() + extraRequests) / std::max<uint32_t>(queue.bounds.requests, 1);
        const double bytes = static_cast<double>(account.bytes + extraBytes) / static_cast<double>(std::max<uint64_t>(queue.bounds.bytes, 1));
        return std::max(requests, bytes) / account.weight;
    }

    AccountQueue* largestAccount(ClassQueue& queue)
    {
        AccountQueue* out = nullptr;
        for (auto& [name, account] : queue.accounts) {
            if (!account.calls.empty() && (!out || occupancy(queue, account, 0, 0) > occupancy(queue, *out, 0, 0)))
                out = &account;
        }
        return out;
    }

    /// Retry delay: the time to drain the calls ahead, with up to 25% jitter so that refused callers do not retry at once.
    TimeMs retryAfter(CallQueue& queue, int priority, double cost)
    {
        // While the rate is unknown, an early retry would only find the same queue.
        const TimeMs minimum = queue.costPerSecond > 0 ? 100_ms : 1_s;
        const TimeMs wait = std::max(minimum, expectedWait(queue, priority, cost));
        return { wait.value + static_cast<int64_t>(queue.random.below(static_cast<uint64_t>(wait.value) / 4 + 1)) };
    }

    RefusedCall makeRefusal(CallQueue& queue, const QueuedCall& call, QueueRefusal reason)
    {
        return { call.call, reason, retryAfter(queue, call.priority, call.cost) };
    }

    /// Makes room by displacing the calls with the latest deadlines of the account with the highest occupancy, as long as its
    /// occupancy exceeds that of the new call's account including the new call.
    bool makeRoom(CallQueue& queue, ClassQueue& classQueue, const QueuedCall& call, std::vector<RefusedCall>& refused)
    {
        if (call.bytes > classQueue.bounds.bytes || !classQueue.bounds.requests)
            return false;
        while (!fits(classQueue, call.bytes)) {
            AccountQueue* largest = largestAccount(classQueue);
            auto& own = classQueue.accounts[call.account];
            own.weight = std::max(call.weight, minCost);
            if (!largest || largest == &own || occupancy(classQueue, *largest, 0, 0) <= occupancy(classQueue, own, 1, call.bytes))
                return false;
            const auto displaced = extractCall(classQueue, *largest, std::prev(largest->calls.end()));
            refused.push_back(makeRefusal(queue, displaced, QueueRefusal::Displaced));
        }
        return true;
    }

    bool missesDeadline(const QueuedCall& call, TimeMs now, TimeMs wait)
    {
        return now + wait + call.service > call.deadline;
    }

    AccountQueue* nextAccount(ClassQueue& queue)
    {
        AccountQueue* out = nullptr;
        for (auto& [name, account] : queue.accounts) {
            if (account.calls.empty())
                continue;
            if (!out || account.virtualStart < out->virtualStart
                || (account.virtualStart == out->virtualStart && account.calls.begin()->first < out->calls.begin()->first))
                out = &account;
        }
        return out;
    }

    std::optional<QueuedCall> dequeueFrom(CallQueue& queue, ClassQueue& classQueue, TimeMs now, std::vector<RefusedCall>& refused)
    {
        while (AccountQueue* account = nextAccount(classQueue)) {
            const QueuedCall call = extractCall(classQueue, *account, account->calls.begin());
            if (missesDeadline(call, now, {})) {
                refused.push_back(makeRefusal(queue, call, QueueRefusal::Late));
                continue;
            }
            classQueue.virtualNow = std::max(classQueue.virtualNow, account->virtualStart);
            account->virtualStart += call.cost / account->weight;
            return call;
        }
        return std::nullopt;
    }

    double waitingWeights(const ClassQueue& classQueue)
    {
        double out = 0;
        for (const auto& [name, account] : classQueue.accounts)
            out += account.calls.empty() ? 0 : account.weight;
        return out;
    }

    /// Refuses the calls that cannot be served in time at the current rate, checking each account's calls in order.
    void refuseLateCalls(CallQueue& queue, ClassQueue& classQueue, TimeMs now, std::vector<RefusedCall>& refused)
    {
        const double higherPriorityMs = classQueue.priority > 0 ? static_cast<double>(expectedWait(queue, classQueue.priority - 1, 0).value) : 0;
        const double classMs = static_cast<double>(expectedWait(queue, classQueue.priority, 0).value);
        const double weights = waitingWeights(classQueue);
        for (auto& [name, account] : classQueue.accounts) {
            double ahead = 0;
            for (auto it = account.calls.begin(); it != account.calls.end();) {
                const auto next = std::next(it);
                const double byShareMs = queue.costPerSecond > 0 ? ahead * weights / account.weight / queue.costPerSecond * 1000 : 0;
                const TimeMs wait { static_cast<int64_t>(std::min(classMs, higherPriorityMs + byShareMs)) };
                if (missesDeadline(it->second, now, wait))
                    refused.push_back(makeRefusal(queue, extractCall(classQueue, account, it), QueueRefusal::Late));
                else
                    ahead += it->second.cost;
                it = next;
            }
        }
        eraseIdleAccounts(classQueue);
    }
}

void setQueueBounds(CallQueue& queue, const std::string& className, int priority, QueueBounds bounds)
{
    auto& it = queue.classes[{ priority, className }];
    it.name = className;
    it.priority = priority;
    it.bounds = bounds;
}

TimeMs expectedWait(const CallQueue& queue, int priority, double cost)
{
    double ahead = 0;
    for (const auto& [key, it] : queue.classes)
        ahead += key.first <= priority ? it.cost : 0;
    if (ahead <= 0 || queue.costPerSecond <= 0)
        return {};
    return { static_cast<int64_t>(std::ceil((ahead + cost) / queue.costPerSecond * 1000)) };
}

bool enqueue(CallQueue& queue, QueuedCall call, TimeMs now, std::vector<RefusedCall>& refused)
{
    call.cost = std::max(call.cost, minCost);
    auto& classQueue = classQueueFor(queue, call);
    // Fair queueing serves a small account before the backlog of large ones, so the wait of the whole class would overstate
    // its wait: it receives at least a share of the rate proportional to its weight among the waiting accounts.
    auto& account = classQueue.accounts[call.account];
    account.weight = std::max(call.weight, minCost);
    double weights = 0;
    double ownCost = call.cost;
    for (const auto& [name, it] : classQueue.accounts)
        weights += it.calls.empty() && &it != &account ? 0 : it.weight;
    for (const auto& [key, it] : account.calls)
        ownCost += it.cost;
    const double higherPriorityMs = call.priority > 0 ? static_cast<double>(expectedWait(queue, call.priority - 1, 0).value) : 0;
    const double byShareMs = queue.costPerSecond > 0 && classQueue.requests ? ownCost * weights / account.weight / queue.costPerSecond * 1000 : 0;
    const TimeMs wait = std::min<TimeMs>(expectedWait(queue, call.priority, call.cost), { static_cast<int64_t>(std::ceil(higherPriorityMs + byShareMs)) });
    if (missesDeadline(call, now, wait)) {
        refused.push_back(makeRefusal(queue, call, QueueRefusal::Late));
        eraseIdleAccounts(classQueue);
        return false;
    }
    if (!fits(classQueue, call.bytes) && !makeRoom(queue, classQueue, call, refused)) {
        refused.push_back(makeRefusal(queue, call, QueueRefusal::Full));
        eraseIdleAccounts(classQueue);
        return false;
    }
    if (account.calls.empty())
        account.virtualStart = std::max(account.virtualStart, classQueue.virtualNow);
    account.bytes += call.bytes;
    classQueue.bytes += call.bytes;
    classQueue.cost += call.cost;
    ++classQueue.requests;
    const auto order = std::pair { call.deadline.value, ++queue.order };
    account.calls.emplace(order, std::move(call));
    INVARIANT(classQueue.requests <= classQueue.bounds.requests && classQueue.bytes <= classQueue.bounds.bytes, "queue within its bounds",
        "class", classQueue.name, "requests", classQueue.requests, "bytes", classQueue.bytes);
    return true;
}

std::optional<QueuedCall> dequeue(CallQueue& queue, TimeMs now, std::vector<RefusedCall>& refused)
{
    for (auto& [key, classQueue] : queue.classes) {
        auto call = dequeueFrom(queue, classQueue, now, refused);
        eraseIdleAccounts(classQueue);
        if (!call)
            continue;
        queue.dequeuedCost += call->cost;
        return call;
    }
    return std::nullopt;
}

bool removeCall(CallQueue& queue, CallId id)
{
    for (auto& [key, classQueue] : queue.classes) {
        for (auto& [name, account] : classQueue.accounts) {
            const auto it = std::find_if(account.calls.begin(), account.calls.end(), [&](const auto& call) { return call.second.call == id; });
            if (it == account.calls.end())
                continue;
            extractCall(classQueue, account, it);
            eraseIdleAccounts(classQueue);
            return true;
        }
    }
    return false;
}

void tickQueue(CallQueue& queue, TimeMs now, std::vector<RefusedCall>& refused)
{
    for (auto& [key, classQueue] : queue.classes)
        refuseLateCalls(queue, classQueue, now, refused);
    constexpr TimeMs window { 1000 };
    const TimeMs elapsed = now - queue.lastTick;
    if (queue.lastTick.value >= 0 && elapsed < window)
        return;
    // The dequeue rate is a measure of the drain rate of a backlog only while calls are waiting.
    const bool waiting = std::any_of(queue.classes.begin(), queue.classes.end(), [](const auto& it) { return it.second.requests > 0; });
    if (queue.lastTick.value >= 0 && waiting && queue.backlogged) {
        constexpr double weight = 0.3; // Averages over about the last three seconds.
        // A rate of 0 would mean unknown; a stalled queue must result in long expected waits instead.
        const double rate = std::max(queue.dequeuedCost / elapsed.seconds(), 0.05);
        queue.costPerSecond = queue.costPerSecond > 0 ? queue.costPerSecond + weight * (rate - queue.costPerSecond) : rate;
    }
    queue.backlogged = waiting;
    queue.dequeuedCost = 0;
    queue.lastTick = now;
}

}
