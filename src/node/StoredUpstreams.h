#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Stores the known upstreams when they have changed; only on a node with a data folder.
void tickStoredUpstreams(Node&);
/// Handles the completion of the storage; returns false if the completion belongs to another request.
bool handleUpstreamsStored(Node&, const DiskCompletion&);
/// Restores the upstreams stored by an earlier process, for requests to this node only: those that no longer exist expire when
/// no announcement follows, and no other node is told that this one observes them.
void restoreUpstreams(Node&);
/// Sends the observed and the restored entries of the upstream table to a node.
void sendUpstreams(Node&, NodeId to);

}
