#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Random.h"
#include "base/TimeMs.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace siskinshunt {

/// Targets that check fencing tokens refuse orders with a lower token than the highest one seen. Ordered by epoch, then
/// sequence.
struct FencingToken {
    uint64_t epoch = 0; ///< Term in which the leader committed its BeginEpoch.
    uint64_t sequence = 0; ///< Increases by one with each order sent in the epoch.

    bool operator==(const FencingToken&) const = default;
    // Written out: clang-tidy 14 reports a literal 0 (modernize-use-nullptr) in the body of a defaulted comparison.
    std::strong_ordering operator<=>(const FencingToken& other) const
    {
        return epoch != other.epoch ? epoch <=> other.epoch : sequence <=> other.sequence;
    }
};

enum class OrderKind : uint8_t {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    SetRole,
    Drain,
    StartInstance,
    StopInstance,
};

template <>
inline constexpr auto enumNames<OrderKind> = std::to_array<EnumName<OrderKind>>({
    { OrderKind::LoadModel, "load_model" },
    { OrderKind::LoadAdapter, "load_adapter" },
    { OrderKind::LoadVersion, "load_version" },
    { OrderKind::SetRole, "set_role" },
    { OrderKind::Drain, "drain" },
    { OrderKind::StartInstance, "start_instance" },
    { OrderKind::StopInstance, "stop_instance" },
});

/// Command for an upstream or the platform; its ID makes it idempotent at the target.
struct Order {
    std::string id;
    OrderKind kind = OrderKind::LoadVersion;
    std::string target; ///< Upstream name; empty for the platform.
    bool checksFencing = false; ///< Whether the target refuses stale fencing tokens.
    std::string subject; ///< Supersedes earlier orders with the same target and subject, such as "version"; empty: none.
    std::string model; ///< StartInstance: the model to run.
    std::string version; ///< Version, adapter or role.
    std::string domain; ///< StartInstance.
    std::string machine; ///< StartInstance.
    bool reclaimable = true; ///< StartInstance.
    FencingToken fencing; ///< Set by the order table on each send.
};

enum class OrderState : uint8_t {
    Pending, ///< Waits to be sent, possibly after a backoff.
    InFlight,
    Accepted, ///< The target accepted it; its effect was not announced yet.
    Confirmed,
    Superseded,
    Refused, ///< Refused permanently by the target.
};

template <>
inline constexpr auto enumNames<OrderState> = std::to_array<EnumName<OrderState>>({
    { OrderState::Pending, "pending" },
    { OrderState::InFlight, "in_flight" },
    { OrderState::Accepted, "accepted" },
    { OrderState::Confirmed, "confirmed" },
    { OrderState::Superseded, "superseded" },
    { OrderState::Refused, "refused" },
});

constexpr bool isEnded(OrderState state) { return state >= OrderState::Confirmed; }

struct OrderSettings {
    TimeMs lease { 450 }; ///< Lease of the decision leader.
    TimeMs orderTimeout { 5000 }; ///< After it an order is no longer in transit and its answer counts as lost.
    TimeMs clockSlack { 500 };
    TimeMs confirmTimeout { 60000 }; ///< After it an accepted order is sent again if its effect was not announced.
    TimeMs initialBackoff { 200 }; ///< Doubles with each attempt up to maxBackoff, with jitter.
    TimeMs maxBackoff { 10000 };
    size_t maxOrders = 10000; ///< Outstanding and ended orders.
};

/// Time after BeginEpoch in which targets that ignore fencing tokens get no orders. After it, the former leader's lease and
/// all its orders in transit have expired.
TimeMs fencingWait(const OrderSettings&);

struct OutstandingOrder {
    Order order;
    OrderState state = OrderState::Pending;
    uint32_t attempts = 0;
    TimeMs nextAttempt;
    TimeMs sentAt;
    std::string detail;
};

/// Orders of this node while it is the leader. Times are from the node's monotonic clock.
struct OrderTable {
    OrderSettings settings;
    uint64_t epoch = 0; ///< 0 if this node is not the leader; nothing is sent then.
    uint64_t lastEpoch = 0; ///< Highest epoch that this node has had.
    uint64_t nextSequence = 1;
    TimeMs waitUntil; ///< Targets that ignore fencing tokens get no orders before.
    FencingToken lastSent;
    std::map<std::string, OutstandingOrder> orders; ///< By id.
};

/// Starts an epoch after BeginEpoch was committed; outstanding orders are sent again in it. False for an old epoch.
bool beginEpoch(OrderTable&, uint64_t epoch, TimeMs now);
/// Stops sending after the leader has lost its lease. Outstanding orders are discarded; the decision log has the intents.
void endEpoch(OrderTable&);
/// Adds an order unless its ID is known. It supersedes outstanding orders with the same target and subject. False if the
/// table is full of outstanding orders or this node is not the leader.
bool addOrder(OrderTable&, const Order&, TimeMs now);
/// Returns the orders to send now, each with a new fencing token. They are in flight until answered or timed out.
std::vector<Order> claimDueOrders(OrderTable&, TimeMs now, Random&);

enum class OrderAnswer : uint8_t {
    Done, ///< Accepted, and has taken effect.
    Accepted,
    Busy, ///< Refused temporarily.
    Refused, ///< Refused permanently.
    StaleFencingToken, ///< The target has seen a higher token.
    Lost, ///< No answer.
};

/// Handles the answer to the order that was sent with this fencing token. Answers to earlier attempts are ignored unless
/// the order was accepted or done.
void handleOrderAnswer(OrderTable&, const std::string& id, FencingToken, OrderAnswer, TimeMs now, Random&);
/// Confirms orders whose effect the targets announce; `hasEffect` returns whether an order's effect is visible.
void reconcileOrders(OrderTable&, const std::function<bool(const Order&)>& hasEffect);

}
