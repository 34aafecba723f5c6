#pragma once

#include "base/Ids.h"

#include <cstddef>
#include <vector>

namespace siskinshunt {

/// Position of `self` among the nodes in the order of their hashes with the upstream. All nodes agree on the order, which differs from
/// upstream to upstream.
size_t rankAmongNodes(UpstreamId, NodeId self, const std::vector<NodeId>& nodes);

}
