#include "forward/TargetLimit.h"

#include "forward/UpstreamRank.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

// All nodes together may send at once what the limit allows in this time, and a few requests more. The platform tolerates 2 s and 5
// requests; the rest is for nodes that disagree for a moment on who sends.
static constexpr double burstSeconds = 1.5;
static constexpr double burstRequests = 2;
// Least rate, for an upstream that names a limit of zero: without any request nobody learns that the limit has ended.
static constexpr double minPerSecond = 0.2;
// A cold upstream may get 1.5 times its rate and 5 requests in any second. The nodes that share the rate send at most 1.15 times of it and
// one request: 0.8 of the rate, and a burst of one request each. At 8.6 requests/s these are four nodes with at most two requests each in a second,
// so even two groups of nodes that know nothing of each other stay within 17.9.
static constexpr double coldRateFactor = 0.8;
static constexpr double coldSendersPerRate = 0.35;

static size_t sharingNodeCount(double perSecond, size_t nodes)
{
    return std::min(nodes, static_cast<size_t>(std::min(perSecond, 1e6) + burstRequests));
}

static double levelAt(const TargetLimit& limit, TimeMs now)
{
    return std::min(limit.burst, limit.level + limit.share * std::max(now - limit.updatedAt, TimeMs {}).seconds());
}

void setShare(TargetLimit& limit, TimeMs now, UpstreamId upstream, NodeId self, const std::vector<NodeId>& nodes)
{
    limit.level = levelAt(limit, now);
    limit.updatedAt = now;
    limit.share = limit.burst = 0;
    if (limit.perSecond && std::find(nodes.begin(), nodes.end(), self) != nodes.end()) {
        const double perSecond = std::max(*limit.perSecond, minPerSecond);
        const size_t sharing = sharingNodeCount(perSecond, nodes.size());
        if (rankAmongNodes(upstream, self, nodes) < sharing) {
            limit.share = perSecond / static_cast<double>(sharing);
            limit.burst = std::max(1.0, (perSecond * burstSeconds + burstRequests) / static_cast<double>(sharing));
        }
    }
    limit.level = std::min(limit.level, limit.burst);
}

static double coldLevelAt(const ColdLimit& cold, TimeMs now)
{
    return std::min(1.0, cold.level + cold.share * std::max(now - cold.updatedAt, TimeMs {}).seconds());
}

static size_t coldSenderCount(double perSecond)
{
    return static_cast<size_t>(1 + std::min(perSecond, 1e6) * coldSendersPerRate);
}

bool isCold(const TargetLimit& limit, TimeMs now)
{
    return now < limit.cold.until;
}

void setColdUntil(TargetLimit& limit, TimeMs now, TimeMs until, double level)
{
    if (!isCold(limit, now) && now < until)
        limit.cold = { .level = level, .updatedAt = now };
    limit.cold.until = until;
}

void setColdShare(TargetLimit& limit, TimeMs now, UpstreamId upstream, double perSecond, NodeId self, const std::vector<NodeId>& nodes)
{
    auto& cold = limit.cold;
    cold.level = coldLevelAt(cold, now);
    cold.updatedAt = now;
    const size_t sharing = coldSenderCount(perSecond);
    const bool sends = std::find(nodes.begin(), nodes.end(), self) != nodes.end() && rankAmongNodes(upstream, self, nodes) < sharing;
    cold.share = sends ? perSecond * coldRateFactor / static_cast<double>(sharing) : 0;
    if (!sends)
        cold.level = 0;
}

static TimeMs timeUntilLevel(double level, double share)
{
    return TimeMs { static_cast<int64_t>(std::ceil((1 - level) / share * 1000)) };
}

static bool canSendCold(const TargetLimit& limit, TimeMs now)
{
    return !isCold(limit, now) || (limit.cold.share > 0 && coldLevelAt(limit.cold, now) >= 1);
}

static bool canSendNamed(const TargetLimit& limit, TimeMs now)
{
    return !limit.perSecond || levelAt(limit, now) >= 1;
}

bool canSend(const TargetLimit& limit, TimeMs now)
{
    return canSendNamed(limit, now) && canSendCold(limit, now);
}

void recordSend(TargetLimit& limit, TimeMs now)
{
    if (limit.perSecond) {
        limit.level = levelAt(limit, now) - 1;
        limit.updatedAt = now;
    }
    if (isCold(limit, now)) {
        limit.cold.level = coldLevelAt(limit.cold, now) - 1;
        limit.cold.updatedAt = now;
    }
}

static TimeMs timeUntilColdSend(const TargetLimit& limit, TimeMs now)
{
    if (canSendCold(limit, now))
        return TimeMs {};
    const TimeMs left = limit.cold.until - now;
    return limit.cold.share > 0 ? std::min(left, timeUntilLevel(coldLevelAt(limit.cold, now), limit.cold.share)) : left;
}

std::optional<TimeMs> timeUntilSend(const TargetLimit& limit, TimeMs now)
{
    const TimeMs cold = timeUntilColdSend(limit, now);
    if (canSendNamed(limit, now))
        return cold;
    if (limit.share <= 0)
        return std::nullopt;
    return std::max(cold, timeUntilLevel(levelAt(limit, now), limit.share));
}

}
