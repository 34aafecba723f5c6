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

/// Orders with a lower number than the last one seen are refused by targets that check. Ordered by epoch, then sequence.
struct FencingNumber {
    uint64_t epoch = 0; ///< Term in which the leader committed its BeginEpoch.
    uint64_t sequence = 0; ///< Rises by one with each order of the epoch.

    bool operator==(const FencingNumber&) const = default;
    // Written out: clang-tidy 14 reports a literal 0 (modernize-use-nullptr) in the body of a defaulted comparison.
    std::strong_ordering operator<=>(const FencingNumber& other) const
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

/// What is to be done; the id makes it idempotent at the target.
struct Order {
    std::string id;
    OrderKind kind = OrderKind::LoadVersion;
    std::string target; ///< Upstream name; empty for the platform.
    bool checksFencing = false; ///< Whether the target refuses old fencing numbers.
    std::string subject; ///< What a later order supersedes, such as "version" of an upstream; empty: nothing.
    std::string model; ///< Of instances: the model to run.
    std::string version; ///< Version, adapter or role.
    std::string domain; ///< StartInstance.
    std::string machine; ///< StartInstance.
    bool reclaimable = true; ///< StartInstance.
    FencingNumber fencing; ///< Set by the table.
};

enum class OrderState : uint8_t {
    Pending, ///< To be sent, now or after a back-off.
    InFlight,
    Accepted, ///< The target said yes; its effect has not been announced.
    Confirmed,
    Superseded,
    Refused, ///< For good; by the target, or a newer epoch exists.
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
    TimeMs lease { 450 }; ///< Of the decision leader.
    TimeMs orderTimeout { 5000 }; ///< After which an order is no longer on its way, and its answer counts as lost.
    TimeMs clockSlack { 500 };
    TimeMs confirmTimeout { 60000 }; ///< An accepted order whose effect is not announced by then is sent again.
    TimeMs base { 200 }; ///< First back-off; doubles up to the cap, with jitter.
    TimeMs cap { 10000 };
    size_t maxOrders = 10000; ///< Outstanding and ended ones.
};

/// Time after BeginEpoch in which targets that ignore fencing numbers get no order: the former leader's lease and every
/// order still on its way have then expired.
TimeMs fencingWait(const OrderSettings&);

struct OutstandingOrder {
    Order order;
    OrderState state = OrderState::Pending;
    uint32_t tries = 0;
    TimeMs nextTry;
    TimeMs sentAt;
    std::string detail;
};

/// Orders of this node while it leads. Times are a monotonic clock of the node.
struct OrderTable {
    OrderSettings settings;
    uint64_t epoch = 0; ///< 0: not leading, nothing is sent.
    uint64_t lastEpoch = 0; ///< Highest epoch that this node ever had.
    uint64_t nextSequence = 1;
    TimeMs waitUntil; ///< For targets that ignore fencing numbers.
    FencingNumber lastSent;
    std::map<std::string, OutstandingOrder> orders; ///< By id.
};

/// Starts an epoch after BeginEpoch was committed; outstanding orders are sent again under it. False for an old epoch.
bool takeEpoch(OrderTable&, uint64_t epoch, TimeMs now);
/// Stops sending: the leader has lost its lease. Outstanding orders are forgotten; the decision log has the intents.
void leaveEpoch(OrderTable&);
/// Adds an order; the same id again changes nothing. It supersedes pending ones with the same target and subject.
/// False if the table is full of outstanding orders or this node does not lead.
bool addOrder(OrderTable&, const Order&, TimeMs now);
/// Orders to send now. Each has a new fencing number; it is in flight until answered or timed out.
std::vector<Order> dueOrders(OrderTable&, TimeMs now, Random&);

enum class OrderAnswer : uint8_t {
    Done, ///< Accepted and known to have taken effect.
    Accepted,
    Busy, ///< Refused for now: try later.
    Refused, ///< Refused for good.
    OldFencing, ///< The target has seen a newer number.
    Lost, ///< No answer.
};

/// Takes the answer to the order that was sent with this fencing number; answers to earlier sends are ignored unless
/// they say that the order is accepted or done.
void answerOrder(OrderTable&, const std::string& id, FencingNumber, OrderAnswer, TimeMs now, Random&);
/// Compares with what the targets announce: `hasEffect` tells whether an order's effect is visible.
void reconcileOrders(OrderTable&, const std::function<bool(const Order&)>& hasEffect);

}
