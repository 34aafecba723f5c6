#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Called by the decision log's state machine for each applied command.
void decisionApplied(Node&, uint64_t index, std::string_view command);
/// Takes the view of the own decision log once it is known to be current, and stores newer views before they are in force.
void tickControl(Node&);
/// Notes that a member may hold a newer view, and asks for it.
void fetchViewIfNewer(Node&, NodeId member);
void receiveFetchView(Node&, NodeId from, std::string_view body);
void receiveViewNotice(Node&, NodeId from, std::string_view body);
void receiveView(Node&, std::string_view body);
/// Puts the view stored by an earlier process in force.
Result<void> restoreView(Node&);
/// Takes the end of the storage of a view; false if the completion is of another request.
bool handleViewStored(Node&, const DiskCompletion&);

}
