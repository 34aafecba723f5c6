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
    double weight = 1; ///< Weight of the account.
    std::string className;
    int priority = 5; ///< Calls with priority 0 are served first.
    TimeMs arrived;
    TimeMs deadline; ///< Instant by which the answer must be complete.
    TimeMs service; ///< Expected duration after leaving the queue.
    double cost = 1; ///< Cost of the call in requests or tokens; enqueue() raises it to a small positive minimum.
    uint64_t bytes = 0;
};

struct QueueBounds {
    uint32_t requests = 1000;
    uint64_t bytes = 16 << 20;
};

enum class QueueRefusal : uint8_t {
    None,
    Full, ///< The queue is at its bound of requests or bytes.
    Late, ///< The call cannot meet its deadline.
    Displaced, ///< Removed in favour of a call of an account that uses less of the queue.
};

template <>
inline constexpr auto enumNames<QueueRefusal> = std::to_array<EnumName<QueueRefusal>>({
    { QueueRefusal::None, "none" },
    { QueueRefusal::Full, "full" },
    { QueueRefusal::Late, "late" },
    { QueueRefusal::Displaced, "displaced" },
});

/// A call that the queue refused. Its caller is told immediately that the call was not run.
struct RefusedCall {
    CallId call;
    QueueRefusal reason = QueueRefusal::None;
    TimeMs retryAfter; ///< Delay after which a similar call is expected to be served in time.
};

/// Calls of one account in one class, ordered by deadline.
struct AccountQueue {
    std::map<std::pair<int64_t, uint64_t>, QueuedCall> calls; ///< Keyed by deadline, then order of arrival.
    double weight = 1;
    double virtualStart = 0; ///< Virtual start time of the next call.
    uint64_t bytes = 0;
};

/// Queue of one class: start-time fair queueing between accounts, earliest deadline first within an account.
/// While two accounts are backlogged, their served costs divided by their weights differ by at most the sum over both
/// accounts of the largest call cost divided by the weight.
struct ClassQueue {
    std::string name;
    int priority = 5;
    QueueBounds bounds;
    std::map<std::string, AccountQueue> accounts;
    double virtualNow = 0;
    uint32_t requests = 0;
    uint64_t bytes = 0;
    double cost = 0; ///< Total cost of the waiting calls.
};

/// All queues of a node.
struct CallQueue {
    std::map<std::pair<int, std::string>, ClassQueue> classes; ///< Keyed by priority, then name.
    double costPerSecond = 0; ///< Smoothed rate at which calls are dequeued; 0 if not yet known.
    double dequeuedCost = 0; ///< Cost of the calls dequeued since `lastTick`.
    TimeMs lastTick { -1 };
    bool backlogged = false; ///< Calls were waiting at `lastTick`.
    uint64_t order = 0; ///< Sequence number of the last call queued.
    Random random { 1 };
};

void setQueueBounds(CallQueue&, const std::string& className, int priority, QueueBounds);

/// Expected wait of a call of this priority and cost; 0 if no calls are waiting or the rate is unknown.
TimeMs expectedWait(const CallQueue&, int priority, double cost);

/// Queues the call. Appends the calls that it displaced to `refused`. If the call itself is refused, appends it as well and
/// returns false.
bool enqueue(CallQueue&, QueuedCall, TimeMs now, std::vector<RefusedCall>& refused);

/// Removes and returns the next call. Calls that can no longer meet their deadline are appended to `refused` instead.
std::optional<QueuedCall> dequeue(CallQueue&, TimeMs now, std::vector<RefusedCall>& refused);

/// Removes a call whose caller has disconnected. Returns false if it is not queued.
bool removeCall(CallQueue&, CallId);

/// Refuses the calls that can no longer meet their deadline and updates the service rate. Must be called every tick.
void tickQueue(CallQueue&, TimeMs now, std::vector<RefusedCall>& refused);

}
