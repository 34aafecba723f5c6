#pragma once

#include "membership/Membership.h"
#include "membership/Messages.h"

#include <functional>

namespace siskinshunt::gossip {

// Shared by the source files of membership; not for other packages.

/// Remaining transmissions of a change, and the node it was received from.
struct Origin {
    uint8_t remaining = 0;
    NodeId source;
};

constexpr size_t ipUdpHeaders = 28;
constexpr size_t ipTcpHeaders = 40;

/// Transmissions that spread a change from one node to all: each at best doubles the number of nodes that know it. Adds a
/// margin for messages that are lost or reach nodes that already know it.
uint8_t urgentTransmits(const Membership&);
/// Minimum number of transmissions of an urgent change by each node, however few its sender had left. Without it a change
/// can exhaust its transmissions within the failure domain where it originated.
constexpr uint8_t minUrgentTransmits = 7;
uint8_t confirmTransmits(const Membership&);
uint8_t loadTransmits(const Membership&);

void refreshRings(Membership&);
std::function<bool(NodeId)> alivePredicate(const Membership&);

/// Merges what was received about a member; returns false if it was already known.
bool mergeStatus(Membership&, TimeMs now, const MemberStatus&, Origin, MembershipOutputs&);
bool mergeRecord(Membership&, TimeMs now, const MemberRecord&, Origin, MembershipOutputs&);
void setState(Membership&, Member&, MemberState, TimeMs now, MembershipOutputs&);
void suspect(Membership&, Member&, TimeMs now, MembershipOutputs&);
void stop(Membership&, MembershipEventKind, std::string detail, MembershipOutputs&);
/// Moves the change journal of the upstream table into the delta queues and events.
void drainJournal(Membership&, TimeMs now, Origin, MembershipOutputs&);

/// Fills a message with deltas and sends it. If the peer is suspect or dead here, its status is sent first.
void sendGossip(Membership&, TimeMs now, GossipKind, GossipMessage, NodeId peer, const std::string& address, MembershipOutputs&);
uint32_t sendPing(Membership&, TimeMs now, NodeId target, const std::string& address, Probe, MembershipOutputs&);

/// Whether the node started recently, so that its tables may be incomplete.
inline bool isNew(const Membership& m, TimeMs now) { return now - m.startedAt < m.options.newNodePeriod; }
void refreshDigests(Membership&, TimeMs now);
void startSync(Membership&, TimeMs now, MembershipOutputs&);

}
