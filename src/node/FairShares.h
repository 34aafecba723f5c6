#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// Fair sharing of engines among client accounts (see forward/FairAdmission.h). Entry nodes report the work that they meter to the hub of
// their failure domain; hubs exchange the sums, compute the admitted parts of each backend under pressure and send them back. With few
// entry nodes, each reports to all others and computes the parts itself.

/// Meters the work of the request, and refuses the request if its account is above its share. Returns whether it was refused. Requests
/// that may have run, retries and streams in progress are neither counted nor refused.
bool refuseOverShare(Node&, ForwardCall&, const TargetChoice&);
/// Whether the account of the request is above its share of the backend.
bool isOverShare(const Node&, const ForwardCall&);
/// Takes back the admission of a request that was refused for another reason before it was sent.
void withdrawAdmission(Node&, const ForwardCall&);
/// Time after which the refused request should come back.
TimeMs returnTime(Node&, const ForwardCall&);
/// Records that an engine has done the work of the request.
void recordWorkDone(Node&, const ForwardCall&);

/// Reports the metered work, and computes and sends shares, when they are due.
void tickFairShares(Node&);
void receiveAccountDemand(Node&, NodeId from, std::string_view body);
void receiveDomainAccountDemand(Node&, NodeId from, std::string_view body);
void receiveAccountShares(Node&, NodeId from, std::string_view body);

}
