#pragma once

#include "node/NodeState.h"
#include "wire/Envelope.h"

namespace siskinshunt {

/// Seals a message and sends it to the TCP address of the member. The message is dropped if the member is unknown.
void sendFrame(Node&, NodeId to, FrameKind, GroupId, std::string body);
void countDrop(Node&, DropReason);

void receiveDatagram(Node&, const std::string& from, std::string_view bytes);
void receiveFrame(Node&, std::string_view bytes);

/// Writes the voter id, rules revision and known leader of this node to its member record.
void publishStatus(Node&);
/// Publishes the status of this node and ticks the gossip protocol.
void tickMembership(Node&);
/// Sends the messages of the gossip protocol and handles its events.
void flushMembership(Node&);
/// Returns the address at which callers reach a node; empty if unknown.
std::string httpAddressOf(const Node&, NodeId);

}
