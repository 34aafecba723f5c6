#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Stores the upstreams that are known, on a node with a data folder, when they have changed.
void tickStoredUpstreams(Node&);
/// Takes the end of the storage; false if the completion is of another request.
bool handleUpstreamsStored(Node&, const DiskCompletion&);
/// Takes the upstreams stored by an earlier process as announced just now: those that are gone fall silent.
void restoreUpstreams(Node&);
/// Sends the whole table of upstreams to a node.
void sendUpstreams(Node&, NodeId to);

}
