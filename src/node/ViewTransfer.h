#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Fetches the view with at least this index, unless this node has it. `teller` says that it has such a view; the reason goes into
/// the log. The node fetches one view at a time, in pieces that it requests one after the other, so that a transfer never queues
/// more than one piece anywhere. Nodes with a data folder are preferred as sources, since the links of entry nodes carry the requests
/// of callers.
void wantView(Node&, NodeId teller, uint64_t index, const char* reason);
/// Starts a wanted transfer, and resumes one that has stalled, from another node.
void tickViewTransfer(Node&);
void receiveFetchView(Node&, NodeId from, std::string_view body);
void receiveViewPiece(Node&, NodeId from, std::string_view body);

}
