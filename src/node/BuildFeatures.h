#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

struct Node;

/// What a build reads. Nodes with a data folder ask each other before a command is written that earlier builds cannot read.
struct BuildFeaturesFrame {
    static constexpr uint64_t readsEvacuations = 1;
    static constexpr uint64_t readsOrderVersion = 2;
    static constexpr uint64_t readsOrderVersionAmong = 4;

    uint64_t process = 0; ///< Start time of the sender, as processOf() of its incarnation; 0 is no valid frame.
    uint64_t features = 0; ///< Set of the bits above; later builds add bits.
    bool question = false; ///< The receiver answers with its own features.

    template <class Archive>
    void serialize(Archive& archive) { archive(process, features, question); }
};

/// What another process has told of its build.
struct KnownBuild {
    uint64_t process = 0; ///< As in BuildFeaturesFrame.
    uint64_t features = 0;
};

using KnownBuilds = std::map<NodeId, KnownBuild>;

/// Time in ms for which a command waits for the answers: a round trip, while operators wait for 1 s.
constexpr TimeMs featuresTimeout { 300 };

/// Names of the live nodes with a data folder whose build may not read the feature, sorted.
std::vector<std::string> nodesWithoutFeature(const Node&, uint64_t feature);
/// Asks all live nodes with a data folder.
void askFeatures(Node&);
void receiveBuildFeatures(Node&, NodeId from, std::string_view body);

}
