#pragma once

#include "base/Random.h"
#include "replica/DiskQueue.h"
#include "replica/Replica.h"
#include "storage/FakeDisk.h"
#include "storage/Storage.h"

#include <map>
#include <memory>
#include <set>

namespace siskinshunt {

struct ClusterOptions {
    uint64_t seed = 1;
    size_t voters = 3;
    size_t groups = 1;
    uint64_t snapshotEntries = 20;
    uint64_t trailingEntries = 5;
    size_t segmentBytes = 3000;
    size_t snapshotPadding = 0; ///< Extra bytes in each snapshot, so that it takes several pieces.
    double loss = 0; ///< Share of messages lost.
    double duplicates = 0;
    TimeMs maxDelay = 5_ms; ///< Each message takes 1 ms up to this; a larger range reorders messages.
    TimeMs maxSync = 5_ms; ///< Each write takes 1 ms up to this.
    bool drift = false; ///< Clocks differ by an offset and by up to 3% in rate.
};

/// What the state machine of one group of one voter holds.
struct ListState {
    std::vector<std::pair<uint64_t, uint64_t>> commands; ///< Index and command number.
};

struct SimulatedVoter {
    std::string node;
    VoterId id;
    FakeDisk disk;
    std::unique_ptr<Storage> storage;
    std::vector<ReplicaPtr> replicas; ///< One per group; empty while the process is down.
    std::vector<ListState> states;
    DiskQueue queue;
    TimeMs writeEndsAt;
    bool diskStalled = false; ///< The disk does not end its writes.
    double clockRate = 1;
    TimeMs clockOffset;
    std::string startError; ///< Why the last start failed.
};

struct SimulatedProposal {
    size_t group = 0;
    uint64_t command = 0;
    uint64_t afterIndex = 0; ///< Highest acknowledged index when it was proposed.
    std::optional<ProposalOutcome> outcome;
};

struct MessageInFlight {
    size_t to = 0;
    Message message;
};

/// A few voters with fake disks and a lossy network in virtual time. It checks on the way that all voters apply the same
/// sequence, that nothing acknowledged is lost, repeated or reordered, and that lease reads are current.
struct ConsensusCluster {
    ClusterOptions options;
    Random random { 1 };
    TimeMs now { 1000 };
    std::vector<std::unique_ptr<SimulatedVoter>> voters;
    std::multimap<TimeMs, MessageInFlight> network;
    std::set<std::pair<size_t, size_t>> blockedLinks; ///< Directed links that lose everything.
    std::vector<std::map<uint64_t, uint64_t>> history; ///< Per group: index to command, as first applied anywhere.
    std::vector<std::map<uint64_t, uint64_t>> indexOf; ///< Per group: command to index.
    std::vector<uint64_t> acknowledged; ///< Per group: highest acknowledged index.
    std::map<std::pair<size_t, std::pair<size_t, uint64_t>>, SimulatedProposal> open; ///< By voter, group, proposal id.
    std::vector<SimulatedProposal> finished;
    std::map<std::string, uint64_t> events; ///< Log codes seen.
    uint64_t nextCommand = 0;
    uint64_t nextVoter = 100;
    std::string violation;
};

ConsensusCluster makeCluster(const ClusterOptions&);
/// Founds every group with the voters present.
void bootstrapGroups(ConsensusCluster&);
/// Adds a voter process with an empty disk; returns its number.
size_t addProcess(ConsensusCluster&);
/// Starts the process from its disk; false (and startError) if the disk is refused.
bool startProcess(ConsensusCluster&, size_t voter);
/// Kills the process. A write that runs may be done, partly done or not; with `powerLoss` unsynced data is lost too.
void killProcess(ConsensusCluster&, size_t voter, bool powerLoss);
/// Proposes a new command at the voter; returns its number.
uint64_t proposeAt(ConsensusCluster&, size_t voter, size_t group, size_t bytes = 16);
uint64_t changeMembersAt(ConsensusCluster&, size_t voter, size_t group, MemberChange, VoterId);
/// Advances the virtual time in steps of 5 ms.
void runFor(ConsensusCluster&, TimeMs);
/// The running voter that leads the group with the highest term, if any.
std::optional<size_t> leaderOf(const ConsensusCluster&, size_t group);
/// Runs until a leader has committed an entry of its own term, at most for the limit.
std::optional<size_t> awaitLeader(ConsensusCluster&, size_t group, TimeMs limit);
/// Cuts the voter off from all others, or heals all links.
void isolate(ConsensusCluster&, size_t voter);
void heal(ConsensusCluster&);
/// Final check: every outcome agrees with the history, and every running member of the groups has applied it all.
void checkFinalState(ConsensusCluster&);
TimeMs clockOf(const ConsensusCluster&, size_t voter);

}
