#include "forward/BrittleLimit.h"

#include "forward/UpstreamRank.h"

#include <algorithm>

namespace siskinshunt {

static constexpr TimeMs minPause { 1000 };
static constexpr TimeMs maxPause { 20000 };
// For an upstream that bears no refusal.
static constexpr double minRefusalsPerSecond = 0.5;

void setPlaces(BrittleLimit& limit, UpstreamId upstream, uint32_t slots, NodeId self, const std::vector<NodeId>& nodes)
{
    limit.nodes = std::max<size_t>(1, nodes.size());
    const size_t rank = rankAmongNodes(upstream, self, nodes);
    limit.places = static_cast<uint32_t>(slots / limit.nodes) + (rank < slots % limit.nodes ? 1 : 0);
}

bool hasPlace(const BrittleLimit& limit, double own, double others, uint32_t slots)
{
    return !limit.refusalsPerSecond || (own + 1 <= limit.places && own + others + 1 <= slots);
}

TimeMs pauseAfterRefusal(const BrittleLimit& limit)
{
    if (!limit.refusalsPerSecond)
        return {};
    const double seconds = static_cast<double>(limit.nodes) / std::max(*limit.refusalsPerSecond, minRefusalsPerSecond);
    return std::clamp(TimeMs { static_cast<int64_t>(seconds * 1000) }, minPause, maxPause);
}

}
