#pragma once

#include "control/ControlCommand.h"
#include "node/NodeIo.h"

#include <map>
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

/// What a build reads, told between the nodes with a data folder.
struct BuildFeaturesFrame {
    static constexpr uint64_t readsEvacuations = 1;

    uint64_t features = 0; ///< Set of the bits above; later builds add bits.

    template <class Archive>
    void serialize(Archive& archive) { archive(features); }
};

/// What this node knows of evacuations.
struct EvacuationState {
    uint64_t sequence = 0; ///< 0 if there never was one.
    std::map<std::string, Evacuation> inForce; ///< By failure domain.
    std::map<NodeId, TimeMs> readers; ///< Nodes with a data folder that read the commands, with the time of their last frame.
    TimeMs nextFeatures;
};

bool isEvacuated(const Node&, const std::string& domain);
/// Names of the live nodes with a data folder whose build may not read the commands. While there is one, none may be written: it would
/// diverge from the others.
std::vector<std::string> nodesWithoutEvacuations(const Node&);
/// Adopts the evacuations of this voter's decision log, and tells all known members if they have changed.
void publishEvacuations(Node&);
/// Sends the evacuations in force to another node if there ever was one.
void sendEvacuations(Node&, NodeId to);
void receiveEvacuations(Node&, std::string_view body);
void receiveBuildFeatures(Node&, NodeId from, std::string_view body);
void tickEvacuations(Node&);

}
