#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

// Entry nodes report their capacity and lateness to the voters every second. The voters answer the queries for entry addresses by weight
// (see forward/EntryWeights.h). The reports also show which entry nodes live: they go from each entry node to each voter, so a voter that has
// just started, or was paused, does not depend on what its peers or its own old tables say.

/// Records that the tick of this node was late.
void recordOwnLateness(Node&, TimeMs late);
/// Reports to the voters, and updates the weights of the entry nodes, when due.
void tickNodeCapacity(Node&);
/// `sentAt`: time of sending, by the clock of the sender.
void receiveNodeCapacity(Node&, NodeId from, TimeMs sentAt, std::string_view body);

/// Whether this node knows which entry nodes live: it has heard from half of them within 3 s.
bool knowsEntries(const Node&);
/// Whether the entry node may be named: there is a recent sign that its process lives.
bool mayNameEntry(const Node&, const Member&);
/// Addresses that the client at `peer`, in the failure domain, is told. The weights of the candidates are set here.
std::vector<std::string> nameEntries(Node&, std::vector<EntryCandidate>, const std::string& domain, const std::string& peer);

}
