#pragma once

#include "control/ControlCommand.h"
#include "node/BuildFeatures.h"
#include "node/NodeIo.h"

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

struct Node;

// Evacuations are ordered in the decision log and told to all nodes in frames of their own, so that builds which know none read all other
// messages as before. The whole set travels each time; the sequence number of the decision log tells which one is newer.

/// All evacuations in force.
struct EvacuationsFrame {
    uint64_t sequence = 0; ///< Of the decision log; 0 is no valid frame.
    std::vector<Evacuation> evacuations;

    template <class Archive>
    void serialize(Archive& archive) { archive(sequence, evacuations); }
};

/// An operator's order to start or end an evacuation, until it is answered.
struct EvacuationOrder {
    using Done = std::function<void(Node&, const EvacuationOrder&, const std::optional<ControlReply>&, const std::string& problem)>;

    ExchangeId exchange = 0;
    std::string domain;
    std::string operatorName;
    bool start = false; ///< False ends it.
    TimeMs arrivedAt;
    Done done; ///< Gets the reply of the decision log, or a text that says why there is none.
};

/// What this node knows of evacuations.
struct EvacuationState {
    uint64_t sequence = 0; ///< 0 if there never was one.
    std::map<std::string, Evacuation> inForce; ///< By failure domain.
    std::vector<EvacuationOrder> orders; ///< Not proposed yet; wait until all nodes with a data folder have told what they read.
    TimeMs nextSpread;
};

bool isEvacuated(const Node&, const std::string& domain);
/// Whether this node has the evacuations that were acknowledged before it started. A node that does not know them gives its view to no
/// node without one, which would send by it at once. Considered true some time after the start, so that a fleet without a leader goes on, and
/// always where the settings say that no evacuations are ordered and none ever was.
bool knowsEvacuations(const Node&);
/// Names of the live nodes with a data folder whose build may not read the commands. Empty once there was an evacuation.
std::vector<std::string> nodesWithoutEvacuations(const Node&);
/// Text of an evacuation in the form of a rule line with its comment.
std::string toRuleLine(const Evacuation&);

/// Proposes the order to the decision log as soon as all nodes with a data folder have told that they read it, unless its caller disconnects first, and calls `done`.
void orderEvacuation(Node&, EvacuationOrder);
/// Forgets the order of a caller that has disconnected.
void dropEvacuationOrder(Node&, ExchangeId);
/// Proposes the waiting orders, or refuses those for which a node has not told in time. Called when all received bytes have been processed.
void proposeEvacuationOrders(Node&);

/// Adopts the evacuations of this voter's decision log, and tells all known members if they have changed.
void publishEvacuations(Node&);
/// Sends the evacuations in force to another node if there ever was one.
void sendEvacuations(Node&, NodeId to);
void receiveEvacuations(Node&, std::string_view body);
void tickEvacuations(Node&);

}
