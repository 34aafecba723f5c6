#include "orders/Orders.h"

#include "base/Invariant.h"

#include <algorithm>

namespace siskinshunt {

TimeMs fencingWait(const OrderSettings& settings)
{
    INVARIANT(settings.lease > TimeMs {} && settings.orderTimeout > TimeMs {} && settings.clockSlack >= TimeMs {},
        "lease and order timeout are positive and the clock slack is not negative", "lease", settings.lease.value,
        "orderTimeout", settings.orderTimeout.value, "clockSlack", settings.clockSlack.value);
    return settings.lease + settings.orderTimeout + settings.clockSlack;
}

bool beginEpoch(OrderTable& table, uint64_t epoch, TimeMs now)
{
    if (epoch <= table.lastEpoch)
        return false;
    table.epoch = epoch;
    table.lastEpoch = epoch;
    table.nextSequence = 1;
    table.waitUntil = now + fencingWait(table.settings);
    for (auto& [id, it] : table.orders) {
        if (isEnded(it.state))
            continue;
        it.state = OrderState::Pending;
        it.nextAttempt = now;
    }
    return true;
}

void endEpoch(OrderTable& table)
{
    table.epoch = 0;
    table.orders.clear();
}

static bool makeRoom(OrderTable& table)
{
    if (table.orders.size() < table.settings.maxOrders)
        return true;
    std::erase_if(table.orders, [](const auto& entry) { return isEnded(entry.second.state); });
    return table.orders.size() < table.settings.maxOrders;
}

static void supersede(OrderTable& table, const Order& newer)
{
    if (newer.subject.empty())
        return;
    for (auto& [id, it] : table.orders) {
        if (!isEnded(it.state) && it.order.target == newer.target && it.order.subject == newer.subject) {
            it.state = OrderState::Superseded;
            it.detail = "by " + newer.id;
        }
    }
}

bool addOrder(OrderTable& table, const Order& order, TimeMs now)
{
    if (!table.epoch)
        return false;
    if (table.orders.contains(order.id))
        return true;
    if (!makeRoom(table))
        return false;
    supersede(table, order);
    table.orders.emplace(order.id, OutstandingOrder { .order = order, .state = OrderState::Pending, .nextAttempt = now });
    return true;
}

static TimeMs backoffDelay(const OrderSettings& settings, uint32_t attempts, Random& random)
{
    const int64_t uncapped = settings.initialBackoff.value << std::min(attempts, 20U);
    const int64_t upperBound = std::min(settings.maxBackoff.value, uncapped);
    return { random.between(upperBound / 2, upperBound) };
}

static void scheduleRetry(const OrderTable& table, OutstandingOrder& it, TimeMs now, Random& random)
{
    it.state = OrderState::Pending;
    it.nextAttempt = now + backoffDelay(table.settings, it.attempts, random);
}

/// Schedules a retry of orders whose answer or effect did not arrive in time.
static void retryTimedOutOrders(OrderTable& table, TimeMs now, Random& random)
{
    for (auto& [id, it] : table.orders) {
        const bool answerTimedOut = it.state == OrderState::InFlight && now - it.sentAt >= table.settings.orderTimeout;
        const bool confirmTimedOut = it.state == OrderState::Accepted && now - it.sentAt >= table.settings.confirmTimeout;
        if (!answerTimedOut && !confirmTimedOut)
            continue;
        it.detail = answerTimedOut ? "no answer" : "accepted, but not announced";
        scheduleRetry(table, it, now, random);
    }
}

static Order startAttempt(OrderTable& table, OutstandingOrder& it, TimeMs now)
{
    const FencingToken token { table.epoch, table.nextSequence++ };
    INVARIANT(token > table.lastSent, "fencing tokens of sent orders increase", "epoch", token.epoch, "sequence", token.sequence,
        "lastEpoch", table.lastSent.epoch, "lastSequence", table.lastSent.sequence);
    INVARIANT(it.order.checksFencing || now >= table.waitUntil, "a target that ignores fencing tokens gets no order before waitUntil",
        "order", it.order.id, "now", now.value, "waitUntil", table.waitUntil.value);
    table.lastSent = token;
    it.order.fencing = token;
    it.state = OrderState::InFlight;
    it.sentAt = now;
    ++it.attempts;
    return it.order;
}

std::vector<Order> claimDueOrders(OrderTable& table, TimeMs now, Random& random)
{
    std::vector<Order> due;
    if (!table.epoch)
        return due;
    retryTimedOutOrders(table, now, random);
    for (auto& [id, it] : table.orders) {
        if (it.state != OrderState::Pending || now < it.nextAttempt || (!it.order.checksFencing && now < table.waitUntil))
            continue;
        due.push_back(startAttempt(table, it, now));
    }
    return due;
}

static void endOrder(OutstandingOrder& it, OrderState state, std::string detail)
{
    it.state = state;
    it.detail = std::move(detail);
}

void handleOrderAnswer(OrderTable& table, const std::string& id, FencingToken token, OrderAnswer answer, TimeMs now, Random& random)
{
    const auto found = table.orders.find(id);
    if (found == table.orders.end() || isEnded(found->second.state))
        return;
    OutstandingOrder& it = found->second;
    if (answer == OrderAnswer::Done)
        return endOrder(it, OrderState::Confirmed, {});
    if (answer == OrderAnswer::Accepted) {
        it.state = OrderState::Accepted;
        return;
    }
    if (it.state != OrderState::InFlight || it.order.fencing != token)
        return;
    switch (answer) {
    case OrderAnswer::Refused:
        return endOrder(it, OrderState::Refused, "refused");
    case OrderAnswer::StaleFencingToken:
        // If a later order of this epoch arrived first, a new token resolves it. If there is a newer epoch, the node's own
        // consensus group tells it that it is no longer the leader.
        it.detail = "old fencing number";
        return scheduleRetry(table, it, now, random);
    default:
        it.detail = answer == OrderAnswer::Busy ? "busy" : "no answer";
        return scheduleRetry(table, it, now, random);
    }
}

void reconcileOrders(OrderTable& table, const std::function<bool(const Order&)>& hasEffect)
{
    for (auto& [id, it] : table.orders) {
        if (!isEnded(it.state) && hasEffect(it.order))
            endOrder(it, OrderState::Confirmed, "announced");
    }
}

}
