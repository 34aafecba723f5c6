#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace siskinshunt {

/// Room that this node uses at an upstream which fails if it has to refuse many requests in a short time, as it says in its answers.
struct BrittleLimit {
    std::optional<double> refusalsPerSecond; ///< Borne from all nodes together; none while its answers name no such limit.
    TimeMs namedAt; ///< Last answer of an upstream of the backend that named it, or the first one of this upstream without it.
    uint32_t places = 0; ///< Requests of this node that may be in flight at the upstream.
    size_t nodes = 1; ///< Nodes that send to the upstream.
};

/// Sets the places of the node `self`. The slots of the upstream are divided over the nodes; if there are more nodes than slots, some have
/// no place.
void setPlaces(BrittleLimit&, UpstreamId, uint32_t slots, NodeId self, const std::vector<NodeId>& nodes);
/// Whether this node may send a request now, with so many of its own and of other nodes in flight.
bool hasPlace(const BrittleLimit&, double own, double others, uint32_t slots);
/// Time for which this node sends nothing after a refusal, so that the refusals of all nodes stay within the limit.
TimeMs pauseAfterRefusal(const BrittleLimit&);

}
