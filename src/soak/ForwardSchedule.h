#pragma once

#include "node/NodeState.h"
#include "soak/Soak.h"

#include <deque>

namespace siskinshunt {

namespace forwardsoak {

    /// A forward rule as the schedule has set it.
    struct Route {
        std::string name;
        std::string kind;
        TimeMs timeout;
        int attempts = 1;
        std::string backend;
        bool anonymous = true;
        bool resume = false;
        bool dropped = false;

        bool isRunOnce() const { return kind != "repeatable" && !resume; }
    };

    /// The answer of one run.
    struct RunResult {
        uint16_t status = 0;
        std::string receipt;
        std::string body;
    };

    /// A request, and what its caller and the upstreams have seen of it.
    struct Caller {
        Route route; ///< As in force when the request arrived.
        std::string account;
        TimeMs arrivedAt;
        TimeMs deadline;
        uint64_t firstEvent = 0; ///< Last event that the caller has already.
        uint64_t events = 0;
        bool large = false;
        std::vector<RunResult> results;
        int mayHaveRun = 0; ///< Sends without a statement that they were not run.
        int runs = 0;
        bool headSeen = false;
        bool ended = false;
        bool refused = false; ///< With a status that states that the request was not run.
        std::string text;
        std::optional<uint64_t> contentLength;
        std::optional<TimeMs> leftAt;
        std::string history;
    };

    /// An upstream.
    struct Server {
        std::string name;
        std::string backend;
        std::string address;
        uint64_t incarnation = 1;
        uint64_t sequence = 0;
        bool up = true;
        bool unreachable = false; ///< Connections to the address time out while it is down.
        bool leaving = false; ///< As the node knows it.
        uint64_t leavingIncarnation = 0;
        double trouble = 0; ///< Share of faulty answers.
        double refusal = 0; ///< Share of requests that are not run.
        TimeMs silentUntil;
        TimeMs nextAnnouncement;
        TimeMs backAt; ///< While it is down: its next start. While it is leaving: its end.

        bool isLeaving() const { return leavingIncarnation == incarnation; }
    };

    struct TimedEvent {
        TimeMs at;
        UpstreamEvent event;
    };

    /// A dispatch of the node, with its connection and its run.
    struct Send {
        UpstreamDispatch dispatch;
        uint64_t exchange = 0;
        TimeMs connectAt;
        UpstreamFailure connectFailure = UpstreamFailure::None;
        std::optional<TimeMs> arrivesAt; ///< At the upstream, once it was sent.
        std::optional<TimeMs> writtenAt;
        bool answered = false; ///< The node has the head of an answer.
        TimeMs timeoutAt = farFuture;
        std::deque<TimedEvent> script;
        std::string server; ///< That received it.
        std::optional<TimeMs> runSince;
        TimeMs runUntil;
        bool closed = false; ///< By the node, or by its transport.
    };

    /// One entry node with its simulated callers and upstreams.
    struct ForwardSchedule {
        explicit ForwardSchedule(uint64_t seed)
            : random(seed)
        {
        }

        Random random;
        SoakResult result;
        HeaderNames names;
        TimeMs now { 1764800000000 };
        NodePtr node;
        std::vector<Route> routes;
        std::map<std::string, bool> keys { { "gold", true }, { "tin", true }, { "old", true } }; ///< Whether each is in force.
        std::vector<Server> servers;
        std::map<uint64_t, Caller> callers;
        std::map<DispatchId, Send> sends;
        uint64_t runs = 0;
        uint64_t addresses = 0;
        TimeMs burstUntil;
        TimeMs stalledUntil;
        bool faulty = true;
        bool stopped = false;
    };

    void note(ForwardSchedule&, uint64_t exchange, const std::string&);
    /// Records the first violation, with the history of its request.
    void violate(ForwardSchedule&, uint64_t exchange, const std::string&);
    /// Events of the request's stream after this one. They differ between runs only where the route may not resume.
    std::string streamText(const Caller&, uint64_t exchange, uint64_t after, const std::string& run);

    Server* findServer(ForwardSchedule&, const std::string& name);
    /// The upstream that listens at the address now.
    Server* serverAt(ForwardSchedule&, const std::string& address);
    std::string newAddress(ForwardSchedule&);
    /// Checks a dispatch of the node and begins to connect.
    void addSend(ForwardSchedule&, UpstreamDispatch&&);
    /// The node or its transport has closed the connection.
    void closeSend(ForwardSchedule&, Send&);
    /// Next event that the transport reports now.
    std::optional<UpstreamEvent> nextEvent(ForwardSchedule&, Send&);
    /// Breaks the connection and ends the run.
    void resetSend(ForwardSchedule&, Send&);
    void stopServer(ForwardSchedule&, Server&);
    void startServer(ForwardSchedule&, Server&, const std::string& address);
    void silenceServer(ForwardSchedule&, Server&, TimeMs duration);
    void announceServer(ForwardSchedule&, Server&, bool leaving);
    /// Lets requests arrive at upstreams and checks that no two runs of a stream overlap.
    void advanceUpstreams(ForwardSchedule&);

}

}
