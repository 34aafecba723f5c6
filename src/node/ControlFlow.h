#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Called by the state machine of the decision log for each applied command.
void decisionApplied(Node&, uint64_t index, std::string_view command);
/// Adopts the view of the local decision log when it is known to be current; otherwise fetches newer views from other
/// members. On a node with a data folder, a view is stored before it is adopted.
void tickControl(Node&);
void receiveViewNotice(Node&, NodeId from, std::string_view body);
/// Adopts a newer view. A node with a data folder stores it first, so that a restart never falls back to an older one.
void acceptView(Node&, ControlView);
/// Adopts the view stored by an earlier process.
Result<void> restoreView(Node&);
/// Adopts a view whose storage has completed; returns false if the completion belongs to another request.
bool handleViewStored(Node&, const DiskCompletion&);

}
