#include "node/VoterRepair.h"

#include "node/Groups.h"
#include "node/OnceFlow.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

static constexpr TimeMs repairInterval { 300 };

static void updateMissing(Node& node, Group& group, const std::vector<VoterId>& voters)
{
    std::erase_if(group.missingSince, [&](const auto& it) { return std::find(voters.begin(), voters.end(), it.first) == voters.end(); });
    for (const VoterId voter : voters) {
        if (nodeOfVoter(node, voter))
            group.missingSince.erase(voter);
        else
            group.missingSince.try_emplace(voter, node.now);
    }
}

static VoterId lostVoter(const Node& node, const Group& group, const std::vector<VoterId>& voters)
{
    for (const auto& [voter, replacement] : node.replacements) {
        if (replacement.until > node.now && std::find(voters.begin(), voters.end(), voter) != voters.end())
            return voter;
    }
    for (const auto& [voter, since] : group.missingSince) {
        if (node.now - since >= node.options.settings.voters.missingTimeout)
            return voter;
    }
    return {};
}

// Selects a live voter outside the group, from the failure domain with the fewest voters of the group.
static VoterId spareVoter(const Node& node, const ReplicaStatus& state)
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
    std::vector<std::pair<int, VoterId>> spares;
    for (const auto& [id, member] : node.membership.members) {
        const VoterId voter = member.status.voter;
        const bool inGroup = std::find(state.voters.begin(), state.voters.end(), voter) != state.voters.end();
        if (voter && !inGroup && isAlive(node.membership, id) && !member.status.draining)
            spares.emplace_back(perDomain[member.identity.domain], voter);
    }
    std::sort(spares.begin(), spares.end());
    return spares.empty() ? VoterId {} : spares.front().second;
}

static void logChange(Node& node, const Group& group, std::string code, VoterId voter, std::string text)
{
    addLog(node, LogLevel::Warning, std::move(code), Step::Propose, "group " + std::to_string(group.id.value), std::move(text), { { "voter", formatCallId(CallId { voter.value }) } });
}

// Adds one live spare if the group has fewer voters than the configured target.
static void growGroup(Node& node, Group& group, const ReplicaStatus& state)
{
    if (state.voters.size() >= node.options.settings.voters.target)
        return;
    if (const VoterId spare = spareVoter(node, state)) {
        logChange(node, group, "voter_added", spare, "the group has fewer voters than configured");
        changeMembers(*group.replica, MemberChange::AddLearner, spare);
    }
}

void repairVoters(Node& node, Group& group)
{
    if (node.now < group.nextRepair || !leadsGroup(node, group))
        return;
    group.nextRepair = node.now + repairInterval;
    const auto state = status(*group.replica);
    updateMissing(node, group, state.voters);
    const VoterId lost = lostVoter(node, group, state.voters);
    if (!state.learners.empty()) {
        const VoterId learner = state.learners.front();
        if (!nodeOfVoter(node, learner)) {
            logChange(node, group, "learner_removed", learner, "the learner is no longer alive");
            changeMembers(*group.replica, MemberChange::Remove, learner);
        } else
            changeMembers(*group.replica, MemberChange::Promote, learner);
        return;
    }
    if (!lost)
        return growGroup(node, group, state);
    // Once the spare is a voter, the lost one can be removed.
    const auto order = node.replacements.find(lost);
    const bool grown = order != node.replacements.end()
        ? std::find(state.voters.begin(), state.voters.end(), order->second.add) != state.voters.end()
        : state.voters.size() % 2 == 0;
    if (grown) {
        logChange(node, group, "voter_removed", lost, "the voter was lost and has been replaced");
        changeMembers(*group.replica, MemberChange::Remove, lost);
        return;
    }
    const VoterId spare = order != node.replacements.end() ? order->second.add : spareVoter(node, state);
    if (spare) {
        logChange(node, group, "voter_replacement_started", spare, "a voter is missing; adding a spare as learner");
        changeMembers(*group.replica, MemberChange::AddLearner, spare);
    }
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
