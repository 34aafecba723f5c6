#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// Upstreams of backends with a `cold-start` rule bear few requests for some time after they have started. The node to which one announces
// itself tells all others how long it stays cold, and a few entry nodes share what it bears; see docs/design/cold-upstreams.md.

/// Upstreams that are cold, or no longer, as the sender has heard from them or from other nodes.
struct ColdStatesFrame {
    std::vector<ReportedCold> states;

    template <class Archive>
    void serialize(Archive& archive) { archive(states); }
};

/// Applies the rules of the rule set in force.
void setColdRules(Node&);
/// Records that the upstream is known and limits it while it is cold. Called with each update of the target.
void updateColdTarget(Node&, ForwardTarget&);
/// Records for how long the upstream stays cold, as it says in the announcement with this incarnation and sequence to this node. A delayed
/// announcement is ignored.
void recordColdStatement(Node&, const Upstream&, uint64_t incarnation, uint64_t sequence, TimeMs remaining);
void receiveColdStates(Node&, NodeId from, std::string_view body);
/// Sends the upstreams that are cold now to one node.
void sendColdStates(Node&, NodeId to);
/// Tells the other nodes what has changed, and follows changes of the membership in the shares of this node.
void tickColdUpstreams(Node&);
/// The upstreams of the domain may have become cold while nobody sent to them: they count as cold for the time of the rule, unless an
/// announcement made after this says otherwise.
void evacuationEnded(Node&, const std::string& domain);

}
