#pragma once

#include "base/Random.h"
#include "fleet/Upstream.h"
#include "node/Node.h"
#include "storage/FakeDisk.h"
#include "storage/Storage.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <tuple>
#include <vector>

namespace siskinshunt {

/// What a fake upstream does with one dispatch.
enum class DispatchFault : uint8_t {
    None,
    Refuse, ///< The connection is refused.
    CloseUnread, ///< Connected, then closed before the request was read.
    CloseAfterRun, ///< Runs the call, then closes without an answer.
    Silent, ///< Takes the request and never answers.
    Crossed, ///< Answers with the head and body of another call.
    BreakStream, ///< Closes after `NodeFleet::streamFaultAfter` tokens.
    SilentStream, ///< Sends nothing after that many tokens.
};

struct NodeFleetOptions {
    int nodes = 4;
    int voters = 3; ///< Bootstrapped; the first ones.
    int disks = 3; ///< Nodes with a data folder; the first ones.
    uint64_t seed = 1;
    TimeMs tick { 50 };
    TimeMs entryValid { 3000 };
};

/// Nodes driven by step() in virtual time, joined by a link in memory, each with its fake disk, and with fakes of upstreams
/// and callers.
struct NodeFleet {
    struct Process {
        Settings settings;
        std::unique_ptr<FakeDisk> disk;
        std::unique_ptr<Storage> storage;
        VoterId voter;
        NodePtr node;
        uint64_t generation = 0; ///< Of the process; what was meant for an earlier one is lost.
        bool frozen = false;
        Inputs bufferedInputs; ///< Arrived while frozen.
        std::vector<DiskRequest> waitingDisk;
        bool writing = false;
        TimeMs diskDelay { 2 };
        bool stopped = false; ///< It has left by itself.
        uint64_t revision = 0; ///< Highest rules revision seen in force.
    };

    struct Upstream {
        Announcement announced;
        bool up = true;
        TimeMs latency { 20 }; ///< Of a whole answer.
        std::optional<TimeMs> reclaimAt;
        std::vector<std::pair<TimeMs, std::string>> dispatches; ///< Time and call id of each request that began to be sent.
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
        bool lost = false; ///< The node died, or the caller left.
    };

    explicit NodeFleet(NodeFleetOptions);
    /// Starts everything, founds the groups and applies the rules; false if that did not succeed within 30 s.
    bool startCluster();
    void runFor(TimeMs);
    bool runUntil(const std::function<bool()>&, TimeMs limit);

    void start(size_t node);
    /// Ends the process; a power loss also loses what its disk had not synced.
    void kill(size_t node, bool powerLoss);
    void freeze(size_t node);
    void thaw(size_t node);
    /// Cuts the link from one node to another, in that direction.
    void setLinkBlocked(size_t from, size_t to, bool isCut);
    void isolate(size_t node, bool isCut);

    void addUpstream(const std::string& name, UpstreamKind, const std::string& pool, const std::string& domain);
    Upstream& upstream(const std::string& name);
    /// Gives the upstream notice; it is gone after that time.
    void reclaim(const std::string& name, TimeMs notice);

    /// Posts a request; returns the number of the caller.
    uint64_t post(size_t node, HttpRequest);
    uint64_t postBooking(size_t node, const std::string& key, const std::string& body = "sound for the main square");
    uint64_t postCompletion(size_t node, bool stream, int tokens);
    uint64_t apply(size_t node, const std::string& requestId, uint64_t expected, const std::string& text, const std::string& operatorName);
    void disconnectCaller(uint64_t caller);
    Caller& caller(uint64_t number) { return callers.at(number); }
    /// Value of a member of the JSON object "error" of an answer, or of the answer itself; empty if absent.
    static std::string member(const Caller&, const std::string& name);
    /// Body of a JSON answer of the node to GET of this target by an operator.
    std::string adminGet(size_t node, const std::string& target);
    bool agreeOnRevision(uint64_t revision);
    /// The node that leads the decisions, or nodes.size().
    size_t decisionLeader();
    int executionCount(const std::string& key) const;
    static std::string rulesText(const std::string& note);
    /// The text that a fake engine gives for a prompt.
    static std::string expectedText(const std::string& prompt, int tokens);

    NodeFleetOptions options;
    Random random;
    TimeMs now { 1764800000000 };
    std::vector<Process> nodes;
    std::vector<std::vector<bool>> blockedLinks; ///< [from][to].
    double loss = 0; ///< Of datagrams; frames are lost by cuts only.
    std::map<std::string, Upstream> upstreams; ///< By address.
    std::map<std::string, Run> runs; ///< Executions by idempotency key.
    std::function<DispatchFault(const UpstreamDispatch&)> fault;
    int streamFaultAfter = 2;
    std::map<uint64_t, Caller> callers;
    std::vector<std::string> replacedPools;
    std::vector<std::string> violations;

private:
    using DispatchKey = std::tuple<size_t, uint64_t, DispatchId>;

    void after(TimeMs delay, std::function<void()>);
    void tickNode(size_t node, uint64_t generation);
    void deliver(size_t node, uint64_t generation, Inputs);
    void carry(size_t node, Outputs&);
    void send(size_t from, const Endpoint& peer, std::string bytes, bool datagram);
    void writeDisk(size_t node);
    void take(size_t node, const Answer&);
    void announceAll();
    void dispatch(size_t node, UpstreamDispatch);
    void runDispatch(const DispatchKey&, const UpstreamDispatch&, DispatchFault);
    void answerModel(const DispatchKey&, const UpstreamDispatch&, DispatchFault, HttpHeaders);
    void report(const DispatchKey&, TimeMs delay, UpstreamEvent);
    void fail(const DispatchKey&, TimeMs delay, UpstreamFailure);

    std::map<std::pair<TimeMs, uint64_t>, std::function<void()>> m_events; ///< By time and number.
    uint64_t m_lastEvent = 0;
    uint64_t m_lastCaller = 0;
    std::set<DispatchKey> m_open; ///< Dispatches that were neither ended nor cancelled.
};

}
