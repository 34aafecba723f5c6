#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "node/Dialect.h"
#include "node/NodeIo.h"

#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinshunt {

/// What a node starts with.
struct NodeOptions {
    Settings settings;
    TimeMs startedAtUtc; ///< A later process of the same name has to have a later time.
    uint64_t seed = 1;
    VoterId voter; ///< From the identity file; none without a data folder.
    std::map<GroupId, GroupState> recovered; ///< From the data folder.
    std::shared_ptr<const Dialect> dialect; ///< Of the platform; null: only the node's own interface.
};

/// What came in since the last step.
struct Inputs {
    struct PeerDatagram {
        std::string from; ///< "IP:PORT".
        std::string bytes;
    };

    std::vector<RequestArrived> requests;
    std::vector<ExchangeId> disconnected; ///< Callers that closed before their answer was complete.
    std::vector<UpstreamEvent> events;
    std::vector<PeerDatagram> datagrams;
    std::vector<std::string> frames; ///< Sealed, without their length.
    std::vector<DiskCompletion> completions;
    std::vector<GroupId> pinning; ///< Groups that hold back old log segments and should take a snapshot.
    std::vector<std::string> seeds; ///< New seed addresses, "IP:PORT", after the settings were read again.
    bool drain = false; ///< Leave gracefully: first the address list, then the process.
};

/// Every table and decision of one daemon. Has no socket, file, thread or clock of its own: the daemon, tests and
/// measurements drive it by step().
struct Node;

struct NodeDeleter {
    void operator()(Node*) const;
};
using NodePtr = std::unique_ptr<Node, NodeDeleter>;

/// Starts a node. Times are UTC milliseconds that never go back. Fails when recovered state cannot be read.
Result<NodePtr> makeNode(NodeOptions, TimeMs now);

/// Takes the inputs, runs the systems that are due, and appends what is to be done to the outputs. Call it for each input
/// and at least once per tick of the settings.
void step(Node&, TimeMs now, Inputs&&, Outputs&);

}
