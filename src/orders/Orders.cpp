#include "orders/Orders.h"

#include "base/Invariant.h"

#include <algorithm>

namespace siskinshunt {

TimeMs fencingWait(const OrderSettings& settings)
{
    INVARIANT(settings.lease > TimeMs {} && settings.orderTimeout > TimeMs {} && settings.clockSlack >= TimeMs {},
        "the parts of the fencing wait are positive", "lease", settings.lease.value, "orderTimeout", settings.orderTimeout.value,
        "clockSlack", settings.clockSlack.value);
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

static TimeMs backOff(const OrderSettings& settings, uint32_t attempts, Random& random)
{
    const int64_t doubled = settings.initialBackoff.value << std::min(attempts, 20U);
    const int64_t longest = std::min(settings.maxBackoff.value, doubled);
    return { random.between(longest / 2, longest) };
}

static void retryLater(const OrderTable& table, OutstandingOrder& it, TimeMs now, Random& random)
{
    it.state = OrderState::Pending;
    it.nextAttempt = now + backOff(table.settings, it.attempts, random);
}

/// Orders whose answer or effect has not come in time are sent again.
static void expireWaits(OrderTable& table, TimeMs now, Random& random)
{
    for (auto& [id, it] : table.orders) {
        const bool lost = it.state == OrderState::InFlight && now - it.sentAt >= table.settings.orderTimeout;
        const bool silent = it.state == OrderState::Accepted && now - it.sentAt >= table.settings.confirmTimeout;
        if (!lost && !silent)
            continue;
        it.detail = lost ? "no answer" : "accepted, but not announced";
        retryLater(table, it, now, random);
    }
}

static Order send(OrderTable& table, OutstandingOrder& it, TimeMs now)
{
    const FencingToken number { table.epoch, table.nextSequence++ };
    INVARIANT(number > table.lastSent, "no order under an older epoch or sequence", "epoch", number.epoch, "sequence", number.sequence,
        "lastEpoch", table.lastSent.epoch, "lastSequence", table.lastSent.sequence);
    INVARIANT(it.order.checksFencing || now >= table.waitUntil, "a target that ignores fencing numbers waits", "order", it.order.id,
        "now", now.value, "waitUntil", table.waitUntil.value);
    table.lastSent = number;
    it.order.fencing = number;
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
    expireWaits(table, now, random);
    for (auto& [id, it] : table.orders) {
        if (it.state != OrderState::Pending || now < it.nextAttempt || (!it.order.checksFencing && now < table.waitUntil))
            continue;
        due.push_back(send(table, it, now));
    }
    return due;
}

static void endOrder(OutstandingOrder& it, OrderState state, std::string detail)
{
    it.state = state;
    it.detail = std::move(detail);
}

void handleOrderAnswer(OrderTable& table, const std::string& id, FencingToken number, OrderAnswer answer, TimeMs now, Random& random)
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
    if (it.state != OrderState::InFlight || it.order.fencing != number)
        return;
    switch (answer) {
    case OrderAnswer::Refused:
        return endOrder(it, OrderState::Refused, "refused");
    case OrderAnswer::StaleFencingToken:
        // An overtaken send of this epoch is sent again with a new number; under a newer epoch this node has been deposed,
        // which its own consensus group tells it.
        it.detail = "old fencing number";
        return retryLater(table, it, now, random);
    default:
        it.detail = answer == OrderAnswer::Busy ? "busy" : "no answer";
        return retryLater(table, it, now, random);
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
