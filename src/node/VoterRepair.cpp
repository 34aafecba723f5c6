#include "node/VoterRepair.h"

#include "node/Groups.h"
#include "node/OnceFlow.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace siskinshunt {

static constexpr TimeMs checkInterval { 300 };
// While members of the group are replaced, each step follows the commit of the one before.
static constexpr TimeMs stepInterval { 100 };
// After a longer pause of this process, its view of the other nodes is out of date.
static constexpr TimeMs maxCheckGap { 1000 };
// A learner that has received nothing for this long, such as one with a full disk, makes room for another spare.
static constexpr TimeMs learnerTimeout { 3000 };
// Without a leader for longer, a group looks for the cause. Elections take about a second.
static constexpr TimeMs leaderlessTimeout { 5000 };

static bool contains(const std::vector<VoterId>& list, VoterId voter)
{
    return std::find(list.begin(), list.end(), voter) != list.end();
}

static void updateMissing(Node& node, VoterRepair& repair, const std::vector<VoterId>& voters)
{
    if (node.now - repair.checkedAt > maxCheckGap)
        repair.missingSince.clear();
    repair.checkedAt = node.now;
    std::erase_if(repair.missingSince, [&](const auto& it) { return !contains(voters, it.first); });
    std::erase_if(repair.givenUp, [&](const auto& it) { return !nodeOfVoter(node, it.first); });
    for (const VoterId voter : voters) {
        if (nodeOfVoter(node, voter))
            repair.missingSince.erase(voter);
        else
            repair.missingSince.try_emplace(voter, node.now);
    }
}

// Whether the voter belongs to no live node and does not answer this leader either. Gossip alone can report a process that is alive as
// replaced, when two processes have the same name for a moment.
static bool isSilent(const Node& node, const ReplicaStatus& state, VoterId voter)
{
    const auto it = std::find_if(state.members.begin(), state.members.end(), [&](const FollowerStatus& it) { return it.voter == voter; });
    return it != state.members.end() && it->sinceReply >= node.options.settings.timings.electionMin && !nodeOfVoter(node, voter);
}

// Whether the voter's node is back with another data folder, so that its own one is lost.
static bool hasLostDisk(const Node& node, VoterId voter)
{
    if (isVoterOfNode(voter, node.self))
        return voter != node.options.voter;
    return std::any_of(node.membership.members.begin(), node.membership.members.end(), [&](const auto& it) {
        const VoterId current = it.second.status.voter;
        return isVoterOfNode(voter, it.first) && current && current != voter && isAlive(node.membership, it.first);
    });
}

static VoterId voterWithLostDisk(const Node& node, const ReplicaStatus& state)
{
    const auto it = std::find_if(state.voters.begin(), state.voters.end(), [&](VoterId voter) { return isSilent(node, state, voter) && hasLostDisk(node, voter); });
    return it == state.voters.end() ? VoterId {} : *it;
}

static VoterId missingVoter(const Node& node, const VoterRepair& repair, const ReplicaStatus& state)
{
    for (const auto& [voter, since] : repair.missingSince) {
        if (node.now - since >= node.options.settings.voters.missingTimeout && isSilent(node, state, voter))
            return voter;
    }
    return {};
}

// The voter that an operator has ordered to replace, if it still belongs to the group.
static VoterId orderedVoter(const Node& node, const ReplicaStatus& state)
{
    for (const auto& [voter, replacement] : node.replacements) {
        if (replacement.until > node.now && contains(state.voters, voter))
            return voter;
    }
    return {};
}

// Selects a live voter outside the group, from the failure domain with the fewest voters of the group. Learners that were given up come last.
static VoterId spareVoter(const Node& node, const VoterRepair& repair, const ReplicaStatus& state)
{
    std::map<std::string, int> perDomain;
    const auto domainOf = [&](VoterId voter) -> std::string {
        const NodeId id = nodeOfVoter(node, voter);
        if (id == node.self)
            return node.options.settings.failureDomain;
        const Member* member = findMember(node.membership, id);
        return member ? member->identity.domain : std::string {};
    };
    for (const VoterId voter : state.voters)
        ++perDomain[domainOf(voter)];
    std::vector<std::tuple<TimeMs, int, VoterId>> spares;
    for (const auto& [id, member] : node.membership.members) {
        const VoterId voter = member.status.voter;
        if (!voter || contains(state.voters, voter) || contains(state.learners, voter) || !isAlive(node.membership, id) || member.status.draining)
            continue;
        const auto givenUp = repair.givenUp.find(voter);
        spares.emplace_back(givenUp == repair.givenUp.end() ? TimeMs {} : givenUp->second, perDomain[member.identity.domain], voter);
    }
    return spares.empty() ? VoterId {} : std::get<VoterId>(*std::min_element(spares.begin(), spares.end()));
}

static void proposeChange(Node& node, Group& group, MemberChange change, VoterId voter, const char* code, const char* text)
{
    changeMembers(*group.replica, change, voter);
    if (std::exchange(group.repair.lastLogged, { code, voter }) == std::pair<std::string, VoterId>(code, voter))
        return;
    addLog(node, LogLevel::Warning, code, Step::Propose, "group " + std::to_string(group.id.value), text, { { "voter", formatCallId(CallId { voter.value }) } });
}

static void removeLearner(Node& node, Group& group, VoterId learner, const char* text)
{
    proposeChange(node, group, MemberChange::Remove, learner, "learner_removed", text);
}

// Whether the learner has received nothing for too long while another spare waits.
static bool isStuck(const Node& node, Group& group, const ReplicaStatus& state, VoterId learner)
{
    auto& progress = group.repair.learner;
    const auto it = std::find_if(state.members.begin(), state.members.end(), [&](const FollowerStatus& it) { return it.voter == learner; });
    const uint64_t received = it == state.members.end() ? 0 : it->match + it->snapshotOffset;
    if (progress.voter != learner || progress.received != received)
        progress = { learner, received, node.now };
    return node.now - progress.at >= learnerTimeout && spareVoter(node, group.repair, state);
}

static void continueLearner(Node& node, Group& group, const ReplicaStatus& state)
{
    const VoterId learner = state.learners.front();
    if (!nodeOfVoter(node, learner))
        return removeLearner(node, group, learner, "the learner is no longer alive");
    if (isStuck(node, group, state, learner)) {
        group.repair.givenUp[learner] = node.now;
        return removeLearner(node, group, learner, "the learner receives nothing; another spare takes its place");
    }
    changeMembers(*group.replica, MemberChange::Promote, learner);
}

// Proposes the next change of the group's members. Returns false if there is none to make.
//
// The order never lowers the number of losses that the group bears, of 2n voters n - 1 and of 2n + 1 voters n. A voter without its disk counts
// as lost already, so it is removed first, whatever the size: the group needs no spare for that, and is ready for the next loss after one
// commit. One that is only missing may come back with its disk: among an odd number it is removed after a spare was promoted. Among an even
// number it adds nothing, whether it comes back or not.
static bool changeGroup(Node& node, Group& group, const ReplicaStatus& state)
{
    if (const VoterId lost = voterWithLostDisk(node, state)) {
        proposeChange(node, group, MemberChange::Remove, lost, "voter_removed", "the node of the voter is back without the voter's data");
        return true;
    }
    const VoterId ordered = orderedVoter(node, state);
    const VoterId replaced = ordered ? ordered : missingVoter(node, group.repair, state);
    const bool isReplaced = ordered ? contains(state.voters, node.replacements.at(ordered).add) : state.voters.size() % 2 == 0;
    if (replaced && isReplaced) {
        const char* text = ordered ? "the voter was replaced by order of an operator" : "the voter is missing and the group does not need it";
        proposeChange(node, group, MemberChange::Remove, replaced, "voter_removed", text);
        return true;
    }
    if (!state.learners.empty()) {
        continueLearner(node, group, state);
        return true;
    }
    if (!replaced && state.voters.size() >= node.options.settings.voters.target)
        return false;
    const VoterId spare = ordered ? node.replacements.at(ordered).add : spareVoter(node, group.repair, state);
    if (!spare)
        return false;
    if (replaced)
        proposeChange(node, group, MemberChange::AddLearner, spare, "voter_replacement_started", "a voter is missing; adding a spare as learner");
    else
        proposeChange(node, group, MemberChange::AddLearner, spare, "voter_added", "the group has fewer voters than configured");
    return true;
}

size_t countLiveVoters(const Node& node, const std::vector<VoterId>& voters)
{
    return static_cast<size_t>(std::count_if(voters.begin(), voters.end(), [&](VoterId it) { return static_cast<bool>(nodeOfVoter(node, it)); }));
}

// Reports a group that cannot have a leader, because the nodes of half of its voters or more are gone.
static void watchMajority(Node& node, Group& group, const ReplicaStatus& state)
{
    auto& repair = group.repair;
    if (state.leader || state.voters.empty() || !repair.leaderKnownAt.value)
        repair.leaderKnownAt = node.now;
    const size_t live = countLiveVoters(node, state.voters);
    const bool alive = node.now - repair.leaderKnownAt < leaderlessTimeout || live > state.voters.size() / 2;
    if (std::exchange(repair.majorityAlive, alive) == alive)
        return;
    const std::string peer = "group " + std::to_string(group.id.value);
    const std::vector<std::pair<std::string, std::string>> fields { { "alive", std::to_string(live) }, { "voters", std::to_string(state.voters.size()) } };
    if (alive)
        addLog(node, LogLevel::Info, "majority_back", Step::Propose, peer, "a majority of the voters is alive again", fields);
    else
        addLog(node, LogLevel::Error, "majority_lost", Step::Propose, peer, "the group accepts no changes until nodes with the data folders of a majority of its voters are back", fields);
}

void repairVoters(Node& node, Group& group)
{
    auto& repair = group.repair;
    if (node.now < repair.nextCheck)
        return;
    repair.nextCheck = node.now + checkInterval;
    const auto state = status(*group.replica);
    updateMissing(node, repair, state.voters);
    watchMajority(node, group, state);
    if (!leadsGroup(node, group)) {
        repair.lastLogged = {};
        return;
    }
    if (!state.membersCommitted || changeGroup(node, group, state))
        repair.nextCheck = node.now + stepInterval;
}

namespace {

    struct ReplaceVoterFrame {
        VoterId remove;
        VoterId add;

        template <class Archive>
        void serialize(Archive& archive) { archive(remove, add); }
    };

}

static void storeReplacement(Node& node, VoterId remove, VoterId add)
{
    // Long enough to catch up by snapshot; the order can be repeated.
    static constexpr TimeMs orderValidity { 600000 };
    node.replacements[remove] = { add, node.now + orderValidity };
}

void replaceVoter(Node& node, VoterId remove, VoterId add)
{
    storeReplacement(node, remove, add);
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.voter && isAlive(node.membership, id))
            sendFrame(node, id, FrameKind::ReplaceVoter, {}, encode(ReplaceVoterFrame { remove, add }));
    }
}

void receiveReplaceVoter(Node& node, std::string_view body)
{
    const auto frame = decodeOr<ReplaceVoterFrame>(body, 64);
    if (!frame.remove || !frame.add)
        return countDrop(node, DropReason::BadBody);
    storeReplacement(node, frame.remove, frame.add);
}

void resumeTakenOver(Node& node, const Ledger& ledger, CallId call)
{
    if (const CallRecord* record = findByCall(ledger, call))
        takeOverCall(node, *record);
}

}
