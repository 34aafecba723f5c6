#include "limits/ClassQueue.h"

#include "base/Invariant.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

namespace {
    constexpr double minCost = 1e-3;

    ClassQueue& classOf(CallQueue& queue, const QueuedCall& call)
    {
        auto& out = queue.classes[{ call.priority, call.className }];
        out.name = call.className;
        out.priority = call.priority;
        return out;
    }

    QueuedCall take(ClassQueue& queue, AccountQueue& account, std::map<std::pair<int64_t, uint64_t>, QueuedCall>::iterator it)
    {
        QueuedCall call = std::move(it->second);
        account.calls.erase(it);
        account.bytes -= call.bytes;
        queue.bytes -= call.bytes;
        queue.cost = std::max(0.0, queue.cost - call.cost);
        --queue.requests;
        return call;
    }

    /// Removes accounts without calls, whose virtual time has passed, so that the table stays bounded.
    void forgetIdle(ClassQueue& queue)
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

    /// Use of the queue by an account, relative to its weight: the larger of its parts of requests and bytes.
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

    /// Time to come back: what lies ahead has to drain, spread by a quarter so that the refused do not return together.
    TimeMs retryAfter(CallQueue& queue, int priority, double cost)
    {
        // Without a known rate an early return would only meet the same queue.
        const TimeMs least = queue.costPerSecond > 0 ? 100_ms : 1_s;
        const TimeMs wait = std::max(least, expectedWait(queue, priority, cost));
        return { wait.value + static_cast<int64_t>(queue.random.below(static_cast<uint64_t>(wait.value) / 4 + 1)) };
    }

    RefusedCall refusal(CallQueue& queue, const QueuedCall& call, QueueRefusal reason)
    {
        return { call.call, reason, retryAfter(queue, call.priority, call.cost) };
    }

    /// Makes room by taking the call with the latest deadline from the account that uses most of the queue for its weight,
    /// as long as that account uses more than the new call's account would.
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
            const auto displaced = take(classQueue, *largest, std::prev(largest->calls.end()));
            refused.push_back(refusal(queue, displaced, QueueRefusal::Displaced));
        }
        return true;
    }

    bool late(const QueuedCall& call, TimeMs now, TimeMs wait)
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
            const QueuedCall call = take(classQueue, *account, account->calls.begin());
            if (late(call, now, {})) {
                refused.push_back(refusal(queue, call, QueueRefusal::Late));
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

    /// Gives up on the calls that the present rate does not serve in time, in their order within each account.
    void dropLate(CallQueue& queue, ClassQueue& classQueue, TimeMs now, std::vector<RefusedCall>& refused)
    {
        const double above = classQueue.priority > 0 ? static_cast<double>(expectedWait(queue, classQueue.priority - 1, 0).value) : 0;
        const double whole = static_cast<double>(expectedWait(queue, classQueue.priority, 0).value);
        const double weights = waitingWeights(classQueue);
        for (auto& [name, account] : classQueue.accounts) {
            double ahead = 0;
            for (auto it = account.calls.begin(); it != account.calls.end();) {
                const auto next = std::next(it);
                const double byShare = queue.costPerSecond > 0 ? ahead * weights / account.weight / queue.costPerSecond * 1000 : 0;
                const TimeMs wait { static_cast<int64_t>(std::min(whole, above + byShare)) };
                if (late(it->second, now, wait))
                    refused.push_back(refusal(queue, take(classQueue, account, it), QueueRefusal::Late));
                else
                    ahead += it->second.cost;
                it = next;
            }
        }
        forgetIdle(classQueue);
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
    auto& classQueue = classOf(queue, call);
    // A small account is served before the backlog of large ones, so the wait of the whole class would overstate its own;
    // its share of the rate is at least its weight among the waiting accounts.
    auto& account = classQueue.accounts[call.account];
    account.weight = std::max(call.weight, minCost);
    double weights = 0;
    double ownCost = call.cost;
    for (const auto& [name, it] : classQueue.accounts)
        weights += it.calls.empty() && &it != &account ? 0 : it.weight;
    for (const auto& [key, it] : account.calls)
        ownCost += it.cost;
    const double above = call.priority > 0 ? static_cast<double>(expectedWait(queue, call.priority - 1, 0).value) : 0;
    const double byShare = queue.costPerSecond > 0 && classQueue.requests ? ownCost * weights / account.weight / queue.costPerSecond * 1000 : 0;
    const TimeMs wait = std::min<TimeMs>(expectedWait(queue, call.priority, call.cost), { static_cast<int64_t>(std::ceil(above + byShare)) });
    if (late(call, now, wait)) {
        refused.push_back(refusal(queue, call, QueueRefusal::Late));
        forgetIdle(classQueue);
        return false;
    }
    if (!fits(classQueue, call.bytes) && !makeRoom(queue, classQueue, call, refused)) {
        refused.push_back(refusal(queue, call, QueueRefusal::Full));
        forgetIdle(classQueue);
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
        forgetIdle(classQueue);
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
            take(classQueue, account, it);
            forgetIdle(classQueue);
            return true;
        }
    }
    return false;
}

void tickQueue(CallQueue& queue, TimeMs now, std::vector<RefusedCall>& refused)
{
    for (auto& [key, classQueue] : queue.classes)
        dropLate(queue, classQueue, now, refused);
    constexpr TimeMs window { 1000 };
    const TimeMs elapsed = now - queue.lastTick;
    if (queue.lastTick.value >= 0 && elapsed < window)
        return;
    // Only while calls wait does the rate at which they leave say how fast a backlog drains.
    const bool waiting = std::any_of(queue.classes.begin(), queue.classes.end(), [](const auto& it) { return it.second.requests > 0; });
    if (queue.lastTick.value >= 0 && waiting && queue.backlogged) {
        constexpr double weight = 0.3; // Averages over about the last three seconds.
        // A stalled queue has to lead to long waits, not to an unknown rate.
        const double rate = std::max(queue.dequeuedCost / elapsed.seconds(), 0.05);
        queue.costPerSecond = queue.costPerSecond > 0 ? queue.costPerSecond + weight * (rate - queue.costPerSecond) : rate;
    }
    queue.backlogged = waiting;
    queue.dequeuedCost = 0;
    queue.lastTick = now;
}

}
