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

bool canSend(const TargetLimit& limit, TimeMs now)
{
    return !limit.perSecond || levelAt(limit, now) >= 1;
}

void recordSend(TargetLimit& limit, TimeMs now)
{
    if (!limit.perSecond)
        return;
    limit.level = levelAt(limit, now) - 1;
    limit.updatedAt = now;
}

std::optional<TimeMs> timeUntilSend(const TargetLimit& limit, TimeMs now)
{
    if (canSend(limit, now))
        return TimeMs {};
    if (limit.share <= 0)
        return std::nullopt;
    return TimeMs { static_cast<int64_t>(std::ceil((1 - levelAt(limit, now)) / limit.share * 1000)) };
}

}
