#pragma once

#include "base/Error.h"
#include "base/Ids.h"
#include "node/Dialect.h"
#include "node/NodeIo.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

/// Settings and recovered state that a node starts with.
struct NodeOptions {
    Settings settings;
    TimeMs startedAtUtc; ///< Must be later than that of any earlier process with the same name.
    uint64_t seed = 1;
    VoterId voter; ///< From the identity file; none for a node without a data folder.
    std::map<GroupId, GroupState> recovered; ///< From the data folder.
    std::shared_ptr<const Dialect> dialect; ///< Dialect of the platform; null if the node serves only its own interface.
};

/// Inputs that arrived since the last step.
struct Inputs {
    struct PeerDatagram {
        std::string from; ///< "IP:PORT".
        std::string bytes;
    };

    std::vector<RequestArrived> requests;
    std::vector<ExchangeId> disconnected; ///< Exchanges whose caller disconnected before the response was complete.
    std::vector<UpstreamEvent> events;
    std::vector<PeerDatagram> datagrams;
    std::vector<std::string> frames; ///< Sealed envelopes, without the length prefix.
    std::vector<DiskCompletion> completions;
    std::vector<GroupId> pinning; ///< Groups that prevent the deletion of old log segments and should take a snapshot.
    std::vector<std::string> seeds; ///< New seed addresses, "IP:PORT", after a reload of the settings.
    std::optional<TimeMs> lateness; ///< Of a tick: how late its timer ran. Not an input that is waited for, so it does not count in isEmpty().
    bool drain = false; ///< Shut down gracefully: first leave the entry addresses, then end the process.

    bool isEmpty() const { return requests.empty() && disconnected.empty() && events.empty() && datagrams.empty() && frames.empty() && completions.empty() && pinning.empty() && seeds.empty() && !drain; }
};

/// The complete state and logic of one daemon. It has no sockets, files, threads or clock of its own: the daemon, tests and
/// benchmarks drive it through step().
struct Node;

struct NodeDeleter {
    void operator()(Node*) const;
};
using NodePtr = std::unique_ptr<Node, NodeDeleter>;

/// Creates a node. Times are monotonic UTC milliseconds. Fails if the recovered state cannot be decoded.
Result<NodePtr> makeNode(NodeOptions, TimeMs now);

/// Processes the inputs, runs the periodic tasks that are due, and appends the resulting actions to the outputs. Must be
/// called for each input and, without inputs, at least once per tick interval of the settings. A step without inputs states
/// that the bytes which had arrived have been passed on: only then are forwarded requests checked for silence and deadlines.
void step(Node&, TimeMs now, Inputs&&, Outputs&);

}
