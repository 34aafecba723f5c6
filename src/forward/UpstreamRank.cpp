#include "forward/UpstreamRank.h"

#include "base/Hash.h"

#include <algorithm>

namespace siskinshunt {

size_t rankAmongNodes(UpstreamId upstream, NodeId self, const std::vector<NodeId>& nodes)
{
    const uint64_t own = combineHash(upstream.value, self.value);
    return static_cast<size_t>(std::count_if(nodes.begin(), nodes.end(), [&](NodeId id) { return combineHash(upstream.value, id.value) > own; }));
}

}
