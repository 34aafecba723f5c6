#pragma once

#include "node/NodeState.h"
#include "wire/Envelope.h"

namespace siskinshunt {

/// Seals a message and sends it to the member's TCP address; dropped if the member is unknown.
void sendFrame(Node&, NodeId to, FrameKind, GroupId, std::string body);
void countDrop(Node&, DropReason);

void receiveDatagram(Node&, const std::string& from, std::string_view bytes);
void receiveFrame(Node&, std::string_view bytes);

/// Puts the voter id, revision and leader of this node into its member record.
void publishStatus(Node&);
/// Ticks gossip and carries its outputs.
void tickMembership(Node&);
/// Sends what gossip wants sent and acts on its events.
void flushMembership(Node&);
/// The address of a node for callers; empty if unknown.
std::string httpAddressOf(const Node&, NodeId);

}
