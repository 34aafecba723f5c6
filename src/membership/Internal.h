#pragma once

#include "membership/Membership.h"
#include "membership/Messages.h"

#include <functional>

namespace siskinshunt::gossip {

// Functions that the source files of membership share. Not for other packages.

/// How far a change still has to be passed on, and where it came from.
struct Origin {
    uint8_t remaining = 0;
    NodeId source;
};

constexpr size_t ipUdpHeaders = 28;
constexpr size_t ipTcpHeaders = 40;

/// Sends that spread a change from one node to all: each send at best doubles the number of nodes that know, plus some
/// for sends to nodes that know already or that are lost.
uint8_t urgentTransmits(const Membership&);
/// Sends that a node owes an urgent change at least, however few its sender had left: without it a change can be used
/// up inside the failure domain where it began.
constexpr uint8_t minUrgentTransmits = 7;
uint8_t confirmTransmits(const Membership&);
uint8_t loadTransmits(const Membership&);

void refreshRings(Membership&);
std::function<bool(NodeId)> alivePredicate(const Membership&);

/// Merges what was received about a member; returns false if the sender's word was not new.
bool mergeStatus(Membership&, TimeMs now, const MemberStatus&, Origin, MembershipOutputs&);
bool mergeRecord(Membership&, TimeMs now, const MemberRecord&, Origin, MembershipOutputs&);
void setState(Membership&, Member&, MemberState, TimeMs now, MembershipOutputs&);
void suspect(Membership&, Member&, TimeMs now, MembershipOutputs&);
void stop(Membership&, MembershipEventKind, std::string detail, MembershipOutputs&);
/// Moves the journal of the upstream table into the queues and events.
void drainJournal(Membership&, TimeMs now, Origin, MembershipOutputs&);

/// Fills a message up with deltas and sends it. `claimAbout`: the status that this node holds of the peer goes first.
void sendGossip(Membership&, TimeMs now, GossipKind, GossipMessage, NodeId peer, const std::string& address, MembershipOutputs&);
uint32_t sendPing(Membership&, TimeMs now, NodeId target, const std::string& address, Probe, MembershipOutputs&);

/// Whether the node has started a short time ago, so that its tables have yet to be filled.
inline bool isNew(const Membership& m, TimeMs now) { return now - m.startedAt < m.options.newNodePeriod; }
void refreshDigests(Membership&, TimeMs now);
void startSync(Membership&, TimeMs now, MembershipOutputs&);

}
