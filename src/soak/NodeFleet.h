#pragma once

#include "base/Random.h"
#include "fleet/Upstream.h"
#include "node/Node.h"
#include "storage/FakeDisk.h"
#include "storage/RetryingStorage.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace siskinshunt {

/// Fault that a simulated upstream injects into one dispatch.
enum class DispatchFault : uint8_t {
    None,
    Refuse, ///< The connection is refused.
    CloseUnread, ///< The connection is accepted, then closed before the request is read.
    CloseAfterRun, ///< Executes the call, then closes the connection without a response.
    Silent, ///< Reads the request and never responds.
    Crossed, ///< Responds with the call and attempt headers of another call.
    BreakStream, ///< Closes the connection after `NodeFleet::streamFaultAfter` tokens.
    SilentStream, ///< Sends nothing more after `NodeFleet::streamFaultAfter` tokens.
};

/// State of the network path from a node to an upstream.
enum class UpstreamPath : uint8_t {
    Open,
    Hangs, ///< Open connections transfer nothing more, and new ones time out.
    Refused, ///< Open connections are reset, and new ones are refused.
    RefusesNew, ///< Open connections work, and new ones are refused.
    Silent, ///< The upstream answers nothing, and goes on later.
};

struct NodeFleetOptions {
    int nodes = 4;
    int voters = 3; ///< Nodes that are bootstrapped as voters: the first ones.
    int disks = 3; ///< Nodes with a data folder: the first ones.
    uint64_t seed = 1;
    TimeMs tick { 50 };
    TimeMs entryValid { 3000 };
    uint32_t ledgerGroups = 4;
    uint32_t targetVoters = 0; ///< Voters to which the groups grow; 0: as many as are bootstrapped.
    TimeMs missingVoterTimeout { 30000 };
    bool voterIdsNameNodes = false; ///< The first voter ids are made by makeVoterId(); otherwise they are as those of earlier builds.
    bool forwards = false; ///< The nodes without a data folder accept callers whose requests are forwarded.
    /// Rate of the link of a node without a data folder and of one with it, in each direction; 0: unlimited. Frames queue for it, datagrams
    /// do not.
    double entryBytesPerMs = 0;
    double diskNodeBytesPerMs = 0;
    size_t announceNodes = 0; ///< Upstreams announce themselves to as many nodes, the first ones; 0: to all.
    std::shared_ptr<const Dialect> dialect;
};

constexpr const char* coldTimeHeader = "Cold-Time-Left";
/// Time limit of an order for a version in ms; 20 s without it.
constexpr const char* orderWithinHeader = "Order-Within";

/// Control calls as a platform could have them: POST announces an upstream, DELETE /NAME its shutdown, PUT /NUMBER replaces the
/// configuration by the rules in its body, POST and DELETE /evacuations/DOMAIN start and end an evacuation, POST /versions/BACKEND/VERSION orders a
/// version within 20 s.
/// The header `coldTimeHeader` of an announcement says for how many ms the upstream is still cold.
std::shared_ptr<const Dialect> makeFleetDialect();

/// Simulates a fleet in virtual time: real nodes driven by step(), with in-memory links, fake disks and simulated upstreams
/// and callers.
struct NodeFleet {
    struct Process {
        Settings settings;
        std::unique_ptr<FakeDisk> disk;
        std::unique_ptr<RetryingStorage> storage;
        VoterId voter;
        NodePtr node;
        uint64_t generation = 0; ///< Incremented when the process ends; events for an earlier generation are dropped.
        bool frozen = false;
        Inputs bufferedInputs; ///< Inputs that arrived while the process was frozen.
        std::vector<DiskRequest> pendingDiskRequests;
        bool writing = false;
        TimeMs diskDelay { 2 };
        bool stopped = false; ///< The node shut down by itself.
        uint64_t revision = 0; ///< Highest rules revision that was in force.
        TimeMs sentUntil; ///< When its link has sent the frames that are queued for it.
        TimeMs receivedUntil; ///< When its link has received the frames that are on their way.
        size_t bytesToSend = 0; ///< Size of the frames that it has sent and that have not arrived.
        size_t maxBytesToSend = 0;
    };

    struct Upstream {
        Announcement announced;
        bool up = true;
        bool announces = true; ///< While it is up.
        TimeMs latency { 20 }; ///< Until a service has responded.
        std::optional<TimeMs> reclaimAt;
        std::vector<std::pair<TimeMs, std::string>> dispatches; ///< Time and call id of each request whose sending started.
    };

    struct Run {
        int count = 0;
        TimeMs at;
    };

    struct Caller {
        size_t node = 0;
        uint64_t generation = 0;
        HttpRequest request;
        TimeMs postedAt;
        TimeMs answeredAt;
        uint16_t status = 0;
        HttpHeaders headers;
        std::string body;
        bool done = false;
        bool aborted = false;
        bool lost = false; ///< No response will come: the node's process ended or the caller disconnected.
    };

    explicit NodeFleet(NodeFleetOptions);
    /// Starts the nodes, bootstraps the groups and applies the rules; returns false if that did not succeed within 30 s.
    bool startCluster();
    void runFor(TimeMs);
    bool runUntil(const std::function<bool()>&, TimeMs limit);

    void start(size_t node);
    /// Kills the process; with `powerLoss`, unsynced data of its disk is lost as well.
    void kill(size_t node, bool powerLoss);
    /// Kills the process and empties its disk, so that its next start makes a new voter.
    void loseDisk(size_t node);
    void freeze(size_t node);
    void thaw(size_t node);
    /// Blocks or unblocks the link from one node to another, in that direction only.
    void setLinkBlocked(size_t from, size_t to, bool blocked);
    /// Blocks or unblocks all links from and to the node.
    void isolate(size_t node, bool blocked);

    void addUpstream(const std::string& name, UpstreamKind, const std::string& pool, const std::string& domain);
    Upstream& upstream(const std::string& name);
    /// Stops the upstream, which closes the connections of its requests.
    void stop(const std::string& name);
    /// Announces the reclaim of the upstream, which stops when the notice time has passed.
    void reclaim(const std::string& name, TimeMs notice);

    /// Posts a request and returns the number of its caller.
    uint64_t post(size_t node, HttpRequest, ListenerKind = ListenerKind::Main);
    uint64_t postBooking(size_t node, const std::string& key, const std::string& body = "sound for the main square");
    uint64_t postCompletion(size_t node, bool stream, int tokens);
    /// Sends a configuration to a node that serves control calls; see makeFleetDialect().
    uint64_t putConfiguration(size_t node, uint64_t number, const std::string& rules);
    uint64_t apply(size_t node, const std::string& requestId, uint64_t expected, const std::string& text, const std::string& operatorName);
    void disconnectCaller(uint64_t caller);
    Caller& caller(uint64_t number) { return callers.at(number); }
    /// Value of a member of the "error" object of a JSON response, or of the response if it has none; empty if absent.
    static std::string member(const Caller&, const std::string& name);
    /// Body of the node's response to an operator's GET request for the target.
    std::string adminGet(size_t node, const std::string& target);
    /// Whether this rules revision is in force on all running nodes.
    bool agreeOnRevision(uint64_t revision);
    /// Whether each group has a leader and the configured number of voters, all on running nodes.
    bool hasAllVoters();
    /// Index of the decision leader, or nodes.size() if there is none.
    size_t decisionLeader();
    int executionCount(const std::string& key) const;
    static std::string rulesText(const std::string& note);
    /// The text that a simulated engine generates for a prompt.
    static std::string expectedText(const std::string& prompt, int tokens);

    NodeFleetOptions options;
    Random random;
    TimeMs now { 1764800000000 };
    std::vector<Process> nodes;
    std::vector<std::vector<bool>> blockedLinks; ///< By [from][to].
    double loss = 0; ///< Fraction of datagrams that are lost; frames are lost on blocked links only.
    std::map<std::string, Upstream> upstreams; ///< By address.
    std::map<std::string, Run> runs; ///< Executions by idempotency key.
    std::function<DispatchFault(const UpstreamDispatch&)> fault;
    std::function<UpstreamPath(size_t node, const std::string& address)> upstreamPath; ///< Null: all are open.
    std::function<DispatchFault(size_t node, const UpstreamDispatch&)> arrived; ///< Called for each request that an upstream gets.
    std::function<bool(size_t from, size_t to, const std::string& frame)> losesFrame; ///< Frames that are lost with their connection.
    /// Headers of the answer to a forwarded request; without a value, the dispatch is one of the fleet's own calls.
    std::function<std::optional<HttpHeaders>(size_t node, const UpstreamDispatch&)> forwardAnswer;
    std::function<uint16_t(const UpstreamDispatch&)> forwardStatus; ///< Status of that answer; null: 200.
    int streamFaultAfter = 2;
    std::map<uint64_t, Caller> callers;
    std::vector<std::string> discardedPools;
    std::vector<std::string> violations;

private:
    using DispatchKey = std::tuple<size_t, uint64_t, DispatchId>;

    void scheduleAfter(TimeMs delay, std::function<void()>);
    void tickNode(size_t node, uint64_t generation);
    void deliver(size_t node, uint64_t generation, Inputs);
    void handleOutputs(size_t node, Outputs&);
    void send(size_t from, const Endpoint& peer, std::string bytes, bool datagram);
    TimeMs transferTime(size_t node, size_t bytes) const;
    void writeDisk(size_t node);
    void writeBatch(size_t node, uint64_t generation, std::shared_ptr<const std::vector<DiskRequest>>);
    void handleAnswer(size_t node, const Answer&);
    void announceAll();
    void dispatch(size_t node, UpstreamDispatch);
    UpstreamPath pathTo(size_t node, const std::string& address) const { return upstreamPath && upstreams.contains(address) ? upstreamPath(node, address) : UpstreamPath::Open; }
    bool takeIdleConnection(size_t node, const UpstreamDispatch&);
    /// Returns false if the path to the upstream is not open, in which case the dispatch is dealt with.
    bool usePath(const DispatchKey&, const UpstreamDispatch&);
    void dispatchToNode(const DispatchKey&, const UpstreamDispatch&, size_t to);
    void handlePassedAnswer(const Answer&);
    void disconnectPassed(const DispatchKey&);
    void runDispatch(const DispatchKey&, const UpstreamDispatch&, DispatchFault);
    void answerModel(const DispatchKey&, const UpstreamDispatch&, DispatchFault, HttpHeaders);
    void report(const DispatchKey&, TimeMs delay, UpstreamEvent);
    void fail(const DispatchKey&, TimeMs delay, UpstreamFailure);

    std::map<std::pair<TimeMs, uint64_t>, std::function<void()>> m_events; ///< By time and event number.
    uint64_t m_lastEvent = 0;
    uint64_t m_lastCaller = 0;
    /// Request that a node has sent to another node.
    struct PassedRequest {
        DispatchKey key;
        size_t to = 0;
    };
    std::map<ExchangeId, PassedRequest> m_passed; ///< By exchange at the other node.
    std::map<std::pair<size_t, std::string>, std::vector<TimeMs>> m_idleConnections; ///< Since when they are idle, by node and upstream.
    std::map<DispatchKey, std::string> m_open; ///< Addresses of the dispatches that have neither ended nor been cancelled.
};

}
