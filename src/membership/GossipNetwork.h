#pragma once

#include "membership/Membership.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

struct GossipLink {
    double loss = 0; ///< Probability of losing a datagram; frames are lost only between partitioned hosts.
    double duplicate = 0; ///< Probability of delivering a datagram twice.
    TimeMs minDelay { 1 };
    TimeMs maxDelay { 5 }; ///< Different delays reorder messages.
};

/// Simulated network of membership nodes in virtual time, shared by tests, randomised schedules and benchmarks.
class GossipNetwork {
public:
    struct Host {
        MembershipOptions options;
        std::unique_ptr<Membership> node; ///< Absent while crashed.
        bool paused = false; ///< Runs no timers and receives nothing; arriving messages are discarded.
        int partition = 0; ///< Hosts of different partitions cannot reach each other.
        uint64_t bytesThisSecond = 0; ///< Sent and received, including IP headers.
        uint64_t peakBytesPerSecond = 0;
        uint64_t totalBytes = 0; ///< Since clearTraffic(), without the current second.
        std::vector<MembershipEvent> events; ///< Events until the caller clears them.
        std::map<DropReason, uint64_t> drops;
    };

    explicit GossipNetwork(uint64_t seed, GossipLink link = {});

    /// Adds a node that starts now; its seeds are the first three hosts. Returns its index.
    size_t add(const std::string& name, const std::string& domain);
    /// Adds `count` hosts, named node0 and up and assigned to the domains in turn, with complete member tables.
    void addConverged(size_t count, size_t domains);
    void crash(size_t host) { hosts[host].node.reset(); }
    /// Starts a new process under the same name.
    void start(size_t host);
    /// Advances in steps of 20 ms. Each step delivers messages, runs the timers, then calls `afterStep` if set.
    void run(TimeMs duration, const std::function<void()>& afterStep = {});
    MembershipOutputs outputs; ///< For calls of announce() and leave(); flush() sends its content.
    void flush(size_t host);
    void clearTraffic();

    Membership& node(size_t host) { return *hosts[host].node; }
    /// Whether each of these hosts sees exactly these hosts alive and none suspect.
    bool hasConverged(const std::vector<size_t>& live) const;
    /// First host whose view differs from `live`, or an empty string.
    std::string describeDivergence(const std::vector<size_t>& live) const;

    std::vector<Host> hosts;
    GossipLink link;
    TimeMs now { 1000000 };
    TimeMs utcBase { INT64_C(1760000000000) };

private:
    struct Packet {
        size_t from = 0;
        size_t to = 0;
        bool frame = false;
        TableFrameKind kind = TableFrameKind::TableDigest;
        std::string bytes;
    };

    void send(size_t from, size_t to, Packet);
    void deliver(Packet&);
    void endSecond();

    Random m_random;
    std::multimap<TimeMs, Packet> m_inFlight;
    std::unordered_map<std::string, size_t> m_byAddress;
};

}
