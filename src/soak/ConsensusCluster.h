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
    size_t snapshotPadding = 0; ///< Extra bytes in each snapshot, so that it is sent in several pieces.
    double loss = 0; ///< Fraction of messages that are lost.
    double duplicates = 0; ///< Fraction of messages that are delivered twice.
    TimeMs maxDelay = 5_ms; ///< Each message takes between 1 ms and this; a larger range reorders messages.
    TimeMs maxSync = 5_ms; ///< Each write takes between 1 ms and this.
    bool drift = false; ///< Each clock has its own offset and a rate error of up to 3%.
};

/// State machine of one group on one voter: the list of applied commands.
struct ListState {
    std::vector<std::pair<uint64_t, uint64_t>> commands; ///< Log index and command number.
};

struct SimulatedVoter {
    std::string node;
    VoterId id;
    FakeDisk disk;
    std::unique_ptr<Storage> storage;
    std::vector<ReplicaPtr> replicas; ///< One per group; empty while the process is not running.
    std::vector<ListState> states;
    DiskQueue queue;
    TimeMs writeEndsAt;
    bool diskStalled = false; ///< Writes do not complete.
    double clockRate = 1;
    TimeMs clockOffset;
    std::string startError; ///< Error of the last start; empty if it succeeded.
};

struct SimulatedProposal {
    size_t group = 0;
    uint64_t command = 0;
    uint64_t afterIndex = 0; ///< Highest acknowledged index at the time of the proposal.
    std::optional<ProposalOutcome> outcome;
};

struct MessageInFlight {
    size_t to = 0;
    Message message;
};

/// Simulates voters with fake disks and a lossy network in virtual time. While it runs, it checks that all voters apply
/// the same sequence, that no acknowledged command is lost, repeated or reordered, and that lease reads are current.
struct ConsensusCluster {
    ClusterOptions options;
    Random random { 1 };
    TimeMs now { 1000 };
    std::vector<std::unique_ptr<SimulatedVoter>> voters;
    std::multimap<TimeMs, MessageInFlight> network;
    std::set<std::pair<size_t, size_t>> blockedLinks; ///< Directed links, as (from, to), on which every message is lost.
    std::vector<std::map<uint64_t, uint64_t>> history; ///< Per group: index to command, as first applied by any voter.
    std::vector<std::map<uint64_t, uint64_t>> indexOf; ///< Per group: command to index.
    std::vector<uint64_t> acknowledged; ///< Per group: highest acknowledged index.
    std::map<std::pair<size_t, std::pair<size_t, uint64_t>>, SimulatedProposal> open; ///< By voter, group, proposal id.
    std::vector<SimulatedProposal> finished;
    std::map<std::string, uint64_t> events; ///< Number of log records by code.
    uint64_t nextCommand = 0;
    uint64_t nextVoter = 100;
    std::string violation;
};

ConsensusCluster makeCluster(const ClusterOptions&);
/// Starts the configured number of voters and bootstraps every group with them.
void bootstrapGroups(ConsensusCluster&);
/// Adds a voter process with an empty disk and returns its number. The process is not started.
size_t addProcess(ConsensusCluster&);
/// Starts the process from its disk. Returns false and sets startError if recovery fails.
bool startProcess(ConsensusCluster&, size_t voter);
/// Kills the process. A write in progress may be done fully, partly or not at all; with `powerLoss`, unsynced data is
/// lost as well.
void killProcess(ConsensusCluster&, size_t voter, bool powerLoss);
/// Proposes a new command on the voter and returns the command's number.
uint64_t proposeAt(ConsensusCluster&, size_t voter, size_t group, size_t bytes = 16);
uint64_t changeMembersAt(ConsensusCluster&, size_t voter, size_t group, MemberChange, VoterId);
/// Advances the virtual time in steps of 5 ms.
void runFor(ConsensusCluster&, TimeMs);
/// The running voter that is leader of the group in the highest term, if any.
std::optional<size_t> leaderOf(const ConsensusCluster&, size_t group);
/// Runs until a leader has committed an entry of its own term, or until the limit has passed.
std::optional<size_t> awaitLeader(ConsensusCluster&, size_t group, TimeMs limit);
/// Blocks all links from and to the voter.
void isolate(ConsensusCluster&, size_t voter);
/// Unblocks all links.
void heal(ConsensusCluster&);
/// Checks at the end of a schedule that every outcome agrees with the history and that every running member has applied
/// the whole history of its groups.
void checkFinalState(ConsensusCluster&);
TimeMs clockOf(const ConsensusCluster&, size_t voter);

}
