#pragma once

#include "membership/Membership.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

struct GossipLink {
    double loss = 0; ///< Of datagrams; frames are never lost but between partitioned hosts.
    double duplicate = 0;
    TimeMs minDelay { 1 };
    TimeMs maxDelay { 5 }; ///< Different delays reorder.
};

/// Membership nodes joined by links in virtual time: the fake that tests, randomised schedules and benchmarks share.
class GossipNetwork {
public:
    struct Host {
        MembershipOptions options;
        std::unique_ptr<Membership> node; ///< Absent while crashed.
        bool paused = false; ///< Neither runs nor takes what arrives; the kernel discards it.
        int partition = 0; ///< Hosts of different sides do not reach each other.
        uint64_t bytes = 0; ///< Both ways with IP headers, in the current second.
        uint64_t peakBytesPerSecond = 0;
        uint64_t totalBytes = 0;
        std::vector<MembershipEvent> events; ///< Since they were last cleared.
        std::map<DropReason, uint64_t> drops;
    };

    explicit GossipNetwork(uint64_t seed, GossipLink link = {});

    /// Adds a node that starts now; its seeds are the first three hosts. Returns its index.
    size_t add(const std::string& name, const std::string& domain);
    /// N hosts node0.. over the domains in turn, all of which know each other from the start.
    void addConverged(size_t count, size_t domains);
    void crash(size_t host) { hosts[host].node.reset(); }
    /// Starts a new process under the same name.
    void start(size_t host);
    /// Advances in steps of 20 ms. Each step delivers, then runs the timers, then calls `each`, if any.
    void run(TimeMs duration, const std::function<void()>& each = {});
    MembershipOutputs outputs; ///< Scratch for calls of announce() and leave(); pass its content on by flush().
    void flush(size_t host);
    void clearTraffic();

    Membership& node(size_t host) { return *hosts[host].node; }
    /// Whether every running, not paused host holds exactly these hosts alive and nobody suspect.
    bool hasConverged(const std::vector<size_t>& live) const;
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
