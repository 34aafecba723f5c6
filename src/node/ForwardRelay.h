#pragma once

#include "node/NodeState.h"

#include <optional>

namespace siskinshunt {

// Requests that this node sends by way of another entry node, because it does not reach the upstreams itself.

/// Marks a request of another entry node.
struct RelayedRequest {
    int possibleExecutions = 0; ///< Upstreams that may have run it before, among those that the other node has tried.
    bool anyReach = false; ///< The other node reaches no upstream, so a node that reaches few of them serves it better.
};

/// Whether the request comes from another entry node.
std::optional<RelayedRequest> parseRelayed(const Node&, const HttpRequest&);
/// Whether the answer of another entry node states that it has not sent the request to any upstream and cannot.
bool isUnrelayable(const Node&, const HttpHeaders&);
/// Header of an answer that states this.
std::pair<std::string, std::string> unrelayableHeader(const Node&);

/// Whether there are other entry nodes.
bool hasOtherEntryNodes(const Node&);
/// Whether the request could go to another entry node that it has not been sent to.
bool canRelay(Node&, const ForwardCall&);
/// Header of an answer that names the upstream from which it comes.
std::pair<std::string, std::string> relayedFromHeader(const Node&, const std::string& upstream);
/// The upstream that relayedFromHeader() names; 0 if there is none.
UpstreamId relayedFrom(const Node&, const HttpHeaders&);

/// How many upstreams of the backend this node reaches, by its own attempts.
ReachedShare reachedShare(const Node&, const std::string& backend);
/// Whether the request should go to another entry node, rather than to an upstream of which this node reaches this share.
bool prefersRelay(const Node&, const ForwardCall&, ReachedShare);
/// Sends the request to another entry node; returns false if there is none to try.
bool relayForward(Node&, ForwardCall&);
/// Records an answer that came by way of the entry node which has the request.
void recordRelayServed(Node&, const ForwardCall&);
/// Records that the entry node which has the request does not reach the backend, or could not be reached itself.
void recordRelayFailure(Node&, const ForwardCall&);
/// Forgets which entry nodes did not reach the backend: an upstream has started that they may reach.
void forgetRelayFailures(Node&, const std::string& backend);
/// Forgets what is too old to choose by.
void expireRelayPeers(Node&);

}
