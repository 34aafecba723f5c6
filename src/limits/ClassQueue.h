#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/Random.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace siskinshunt {

/// A call that waits for an upstream.
struct QueuedCall {
    CallId call;
    std::string account;
    double weight = 1; ///< Of the account.
    std::string className;
    int priority = 5; ///< 0 is served first.
    TimeMs arrived;
    TimeMs deadline; ///< Instant by which the call has to have its answer.
    TimeMs service; ///< Expected duration after it leaves the queue.
    double cost = 1; ///< Share of the work, in requests or tokens; at least a small positive number.
    uint64_t bytes = 0;
};

struct QueueBounds {
    uint32_t requests = 1000;
    uint64_t bytes = 16 << 20;
};

enum class QueueRefusal : uint8_t {
    None,
    Full, ///< In requests or bytes.
    Late, ///< Cannot meet its deadline.
    Displaced, ///< Gave its place to a call of an account that uses less of the queue.
};

template <>
inline constexpr auto enumNames<QueueRefusal> = std::to_array<EnumName<QueueRefusal>>({
    { QueueRefusal::None, "none" },
    { QueueRefusal::Full, "full" },
    { QueueRefusal::Late, "late" },
    { QueueRefusal::Displaced, "displaced" },
});

/// A call that the queue gave up on. Its caller gets the answer at once: not run.
struct RefusedCall {
    CallId call;
    QueueRefusal reason = QueueRefusal::None;
    TimeMs retryAfter; ///< After which a like call is expected to be served in time.
};

/// Calls of one account in one class, by deadline.
struct AccountQueue {
    std::map<std::pair<int64_t, uint64_t>, QueuedCall> calls; ///< By deadline, then order of arrival.
    double weight = 1;
    double virtualStart = 0; ///< Of the next call.
    uint64_t bytes = 0;
};

/// One class: start-time fair queueing over the accounts, earliest deadline first within an account.
/// While two accounts wait, the work served to them, each divided by its weight, differs by at most the sum over the two of
/// the largest cost of a call divided by the weight.
struct ClassQueue {
    std::string name;
    int priority = 5;
    QueueBounds bounds;
    std::map<std::string, AccountQueue> accounts;
    double virtualNow = 0;
    uint32_t requests = 0;
    uint64_t bytes = 0;
    double cost = 0; ///< Of the waiting calls.
};

/// All queues of a node.
struct CallQueue {
    std::map<std::pair<int, std::string>, ClassQueue> classes; ///< By priority, then name.
    double costPerSecond = 0; ///< Smoothed rate at which calls leave; 0: not known yet.
    double dequeuedCost = 0;
    TimeMs lastTick { -1 };
    bool backlogged = false; ///< Calls waited during the whole time since the last tick.
    uint64_t order = 0;
    Random random { 1 };
};

void setQueueBounds(CallQueue&, const std::string& className, int priority, QueueBounds);

/// Time that a call of this priority and cost is expected to wait; 0 while nothing waits or the rate is unknown.
TimeMs expectedWait(const CallQueue&, int priority, double cost);

/// Queues the call, or refuses it or others for it. The calls refused by this are appended to `refused`, which includes
/// the given call if it did not get a place: then the result is false.
bool enqueue(CallQueue&, QueuedCall, TimeMs now, std::vector<RefusedCall>& refused);

/// Takes the next call. Calls that can no longer meet their deadline are appended to `refused` instead.
std::optional<QueuedCall> dequeue(CallQueue&, TimeMs now, std::vector<RefusedCall>& refused);

/// Takes out a call whose caller went away; false if it is not queued.
bool removeCall(CallQueue&, CallId);

/// Gives up on the calls that can no longer meet their deadline and updates the rate. Call it each tick.
void tickQueue(CallQueue&, TimeMs now, std::vector<RefusedCall>& refused);

}
