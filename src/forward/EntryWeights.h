#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace siskinshunt {

// Which entry nodes the directory names. A response is a weighted sample: clients pick one of its addresses at random, so over many
// responses the connections follow the weights. A weight is the capacity of a node relative to the mean, reduced while the node is late.

/// Capacity of an entry node; 0 stands for unknown.
struct EntryCapacity {
    double cpuShare = 0; ///< Cores.
    double linkMbps = 0;

    bool operator==(const EntryCapacity&) const = default;
};

/// Time for which events wait at a node because its timers and turns of the event loop run late, averaged over time: a single stall of
/// 90 ms in a second counts little, a node that is always 500 ms late counts as 500 ms late.
struct LatenessMeter {
    double weighted = 0; ///< Sum of lateness times the time that it covers, in ms^2.
    double covered = 0; ///< ms.
};

/// Records that a timer of the given interval ran late.
void recordLateness(LatenessMeter&, TimeMs interval, TimeMs late);
/// Mean lateness since the last call; resets the meter.
TimeMs takeLateness(LatenessMeter&);

/// Part of its usual weight that a node has by its lateness: 1 up to a tolerance, then less, but never 0, so that the node keeps a few
/// clients.
double latenessFactor(TimeMs lateness);

/// Part of its usual weight that a node has now. Falls at once and rises step by step, so that a node that has just recovered is not
/// overloaded by returning clients.
struct EntryStanding {
    double factor = 1;
    TimeMs updated; ///< 0 before the first update.
};

void updateStanding(EntryStanding&, TimeMs now, TimeMs lateness);

/// Capacities relative to the mean of the known ones: the scarcer of processor and link. Nodes of unknown capacity have the mean.
std::vector<double> relativeCapacities(const std::vector<EntryCapacity>&);

/// Weight of the entry nodes of a failure domain over time.
struct DomainWeight {
    double current = 0;
    double usual = 0; ///< Follows a rise at once and a fall over minutes, as when nodes are removed by plan.
    TimeMs updated;
};

void updateDomainWeight(DomainWeight&, TimeMs now, double current);

/// Part of the new connections of a domain's clients that go to nodes of other domains: above 0 if the domain has less than half of its
/// usual weight and the other domains are better off.
double shareOfOtherDomains(const std::map<std::string, DomainWeight>&, const std::string& domain);

/// An entry node that may be named.
struct EntryCandidate {
    NodeId id;
    std::string address;
    bool sameDomain = false; ///< As the client.
    double weight = 1;
};

/// Addresses of the response. Where all weights are alike and `otherShare` is 0, these are all nodes of the client's domain, and all
/// others if those are fewer than three. `client`: the same value gives nearly the same response as before when weights change a little.
std::vector<std::string> chooseEntries(std::vector<EntryCandidate>, uint64_t client, double otherShare);

/// Tells apart the clients that share an IP address.
struct ClientAddresses {
    struct Queries {
        double recent = 0; ///< Decaying count.
        TimeMs updated;
    };
    std::map<std::string, Queries> byIp;
};

/// Value for chooseEntries() of the client that queries from "IP:PORT". It depends on the IP address alone, unless the address queries
/// more often than a single client does: then each connection counts as a client. `valid`: how long clients use a response.
uint64_t clientKey(ClientAddresses&, TimeMs now, const std::string& peer, TimeMs valid);

}
