#pragma once

#include "base/Random.h"
#include "node/Node.h"

#include <array>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

struct NodeFleetOptions {
    size_t nodes = 8;
    size_t voters = 3; ///< The first nodes; only these have a data folder.
    size_t domains = 3;
    size_t upstreams = 0; ///< Engines; each announces itself to two nodes once per second.
    uint64_t seed = 1;
    TimeMs delay { 1 }; ///< One-way delay of every datagram and frame; none is lost.
    TimeMs sync { 2 }; ///< Time until a disk request is reported as durable.
    TimeMs service { 200 }; ///< Minimum time until an engine responds; the maximum is twice this.
};

/// Resource usage of one node since resetUsage().
struct NodeUsage {
    double stepSeconds = 0; ///< CPU time in step().
    double tickSeconds = 0; ///< CPU time of steps without input.
    uint64_t ticks = 0; ///< Steps without input.
    double longestStepSeconds = 0;
    uint64_t datagramBytes = 0; ///< Sent and received, with 28 bytes of headers for each datagram.
    std::array<uint64_t, 32> frameBytesIn {}; ///< By frame kind, with 44 bytes of headers for each frame.
    std::array<uint64_t, 32> frameBytesOut {};
};

/// Simulates a fleet in virtual time: real nodes driven by step(), with in-memory links and without sockets, files or
/// threads. All nodes know each other from the start.
class NodeFleet {
public:
    explicit NodeFleet(const NodeFleetOptions&);

    /// Advances in steps of 1 ms until `done` returns true after a step or the limit has passed; returns whether `done` did.
    bool run(TimeMs limit, const std::function<bool()>& done = {});
    /// Bootstraps the groups and waits for a decision leader; throws std::runtime_error after 10 s.
    void bootstrapGroups();
    /// Sends an operator's request to a node; `answered` is called with the response.
    void sendOperatorRequest(size_t node, std::string method, std::string target, std::string body, std::function<void(const Answer&)> answered = {});
    /// Applies rules through this node. Returns the time of the response, or nothing if the rules were refused.
    std::optional<TimeMs> applyRules(size_t node, uint64_t expected, const std::string& text);
    /// Sends a chat completion request to a node; the caller's token is "caller".
    void call(size_t node, const std::string& model);
    bool everyNodeHas(uint64_t revision) const;
    size_t leader() const; ///< Index of the decision leader; throws std::runtime_error if there is none.
    size_t openCalls() const; ///< Calls at all nodes, queued or sent.
    void resetUsage();

    TimeMs now { INT64_C(1760000000000) };
    std::vector<NodePtr> nodes;
    std::vector<NodeUsage> usage;
    uint64_t answered = 0; ///< Calls answered with 200.
    uint64_t refused = 0; ///< Calls answered with another status.

private:
    void start(size_t node);
    void exchangeMemberRecords();
    void stepNode(size_t node);
    void handleOutputs(size_t node, Outputs&);
    void sendFrame(size_t from, PeerFrame&&);
    void serve(size_t node, const UpstreamDispatch&);
    void post(TimeMs delay, size_t node, std::function<void(Inputs&)>);
    void announceDue();

    NodeFleetOptions m_options;
    Random m_random;
    std::multimap<TimeMs, std::pair<size_t, std::function<void(Inputs&)>>> m_events;
    std::vector<Inputs> m_inputs;
    std::vector<bool> m_hasInput;
    std::vector<TimeMs> m_nextTick;
    std::vector<TimeMs> m_nextAnnounce; ///< By upstream.
    std::vector<uint64_t> m_announced; ///< Sequence by upstream.
    std::unordered_map<std::string, size_t> m_byAddress;
    std::unordered_map<ExchangeId, std::function<void(const Answer&)>> m_waiting;
    ExchangeId m_lastExchange = 0;
    uint64_t m_lastRequest = 0;
};

/// Rules with the account of NodeFleet::call, `limits` limits and `padding` additional routes.
std::string fleetRules(size_t limits, size_t padding, uint64_t variant);

}
