#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Called by the state machine of the decision log for each applied command.
void decisionApplied(Node&, uint64_t index, std::string_view command);
/// Adopts the view of the local decision log when it is known to be current; otherwise fetches newer views from other
/// members. On a node with a data folder, a view is stored before it is adopted.
void tickControl(Node&);
/// Requests the view of a member if its status reports a newer one.
void fetchViewIfNewer(Node&, NodeId member);
/// Requests the view of a node that holds one of this index, if it is newer and not requested already. The reason goes into the log.
void fetchNewerView(Node&, NodeId from, uint64_t index, const char* reason);
void receiveFetchView(Node&, NodeId from, std::string_view body);
void receiveViewNotice(Node&, NodeId from, std::string_view body);
void receiveView(Node&, std::string_view body);
/// Adopts the view stored by an earlier process.
Result<void> restoreView(Node&);
/// Adopts a view whose storage has completed; returns false if the completion belongs to another request.
bool handleViewStored(Node&, const DiskCompletion&);

}
