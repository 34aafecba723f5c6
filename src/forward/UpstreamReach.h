#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <cstddef>
#include <vector>

namespace siskinshunt {

/// Whether a node reaches the upstreams of a backend, judged by its own attempts. A network failure between this node and all
/// upstreams looks the same as a failure of all upstreams; only other nodes can tell.
struct UpstreamReach {
    TimeMs answeredAt; ///< Last head of an answer, of any upstream.
    std::vector<UpstreamId> silent; ///< Upstreams that have not been reached since then, each once.
    TimeMs unreachedAt; ///< Last attempt that found no connection or got no answer in time.
    bool lost = false;
    TimeMs lostAt;
    TimeMs probeAt; ///< When the next request may try upstreams that are not reached.
};

/// Records an answer. Returns whether the upstreams were lost before.
bool recordReached(UpstreamReach&, TimeMs now);
/// Records an attempt, begun at `sentAt`, that found no connection or got no answer in time. Returns whether the upstreams are lost
/// now and were not before. `targets`: number of upstreams of the backend.
bool recordUnreached(UpstreamReach&, TimeMs now, UpstreamId, TimeMs sentAt, size_t targets);
/// Forgets what was observed, since an upstream has started that may be reached.
void resetReach(UpstreamReach&);
/// Whether a request is due to try upstreams that are not reached; it counts as tried then.
bool takeProbe(UpstreamReach&, TimeMs now);

}
