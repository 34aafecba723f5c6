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
    size_t voters = 3; ///< The first ones; only they have a data folder.
    size_t domains = 3;
    size_t upstreams = 0; ///< Engines, each of which announces itself to two nodes once a second.
    uint64_t seed = 1;
    TimeMs delay { 1 }; ///< Of every datagram and frame, one way; none is lost.
    TimeMs sync { 2 }; ///< Until a disk request is reported as durable.
    TimeMs service { 200 }; ///< Until an engine has answered a call.
};

/// What one node has used since resetUsage().
struct NodeUsage {
    double stepSeconds = 0; ///< Processor time in step().
    double tickSeconds = 0; ///< Processor time of the steps that had no input.
    uint64_t ticks = 0; ///< Steps without input.
    double longestStepSeconds = 0; ///< Seconds.
    uint64_t datagramBytes = 0; ///< Both ways, with 28 bytes of headers each.
    std::array<uint64_t, 32> frameBytesIn {}; ///< By frame kind, with 44 bytes of headers each.
    std::array<uint64_t, 32> frameBytesOut {};
};

/// Whole nodes in virtual time, driven by step() without sockets, files or threads, joined by a link in memory. All know
/// each other from the start.
class NodeFleet {
public:
    explicit NodeFleet(const NodeFleetOptions&);

    /// Advances in steps of 1 ms, at most until `done` holds, which is asked after each step; returns whether it held.
    bool run(TimeMs most, const std::function<bool()>& done = {});
    /// Founds the groups and waits for a decision leader; throws std::runtime_error after 10 s.
    void bootstrapGroups();
    /// Sends an operator's request to a node; `answered` is called with status and body.
    void sendOperatorRequest(size_t node, std::string method, std::string target, std::string body, std::function<void(const Answer&)> answered = {});
    /// Applies rules over this node and runs until the answer; returns the time that it came, or none if it was refused.
    std::optional<TimeMs> applyRules(size_t node, uint64_t expected, const std::string& text);
    /// Sends a caller's chat completion to a node; the caller's token is "caller".
    void call(size_t node, const std::string& model);
    bool everyNodeHas(uint64_t revision) const;
    size_t leader() const; ///< Index of the decision leader; throws std::runtime_error if there is none.
    size_t openCalls() const; ///< At all nodes, queued or sent.
    void resetUsage();

    TimeMs now { INT64_C(1760000000000) };
    std::vector<NodePtr> nodes;
    std::vector<NodeUsage> usage;
    uint64_t answered = 0; ///< Calls answered with 200.
    uint64_t refused = 0; ///< Calls answered otherwise.

private:
    void start(size_t node);
    void introduceAll();
    void stepNode(size_t node);
    void carry(size_t node, Outputs&);
    void carryFrame(size_t from, PeerFrame&&);
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

/// Rules with the account of NodeFleet::call and `limits` limits and `padding` further rules.
std::string fleetRules(size_t limits, size_t padding, uint64_t variant);

}
