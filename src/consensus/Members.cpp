#include "base/Invariant.h"
#include "consensus/Internal.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace siskinshunt {

bool isVoter(const Members& members, VoterId voter)
{
    return std::binary_search(members.voters.begin(), members.voters.end(), voter);
}

bool isLearner(const Members& members, VoterId voter)
{
    return std::binary_search(members.learners.begin(), members.learners.end(), voter);
}

size_t quorum(const Members& members)
{
    return members.voters.size() / 2 + 1;
}

std::string encodeMembers(const Members& members)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(members);
    return std::move(stream).str();
}

Members decodeMembers(std::string_view bytes)
{
    try {
        std::istringstream stream { std::string(bytes) };
        cereal::PortableBinaryInputArchive archive(stream);
        Members members;
        archive(members);
        return members;
    } catch (const cereal::Exception&) {
        return {};
    }
}

const Members& membersAt(const Raft& raft, uint64_t index)
{
    static const Members none;
    auto it = raft.memberHistory.upper_bound(index);
    return it == raft.memberHistory.begin() ? none : std::prev(it)->second;
}

void refreshMembers(Raft& raft)
{
    const bool hasMembers = !raft.memberHistory.empty();
    raft.members = hasMembers ? raft.memberHistory.rbegin()->second : Members {};
    raft.membersIndex = hasMembers ? raft.memberHistory.rbegin()->first : 0;
    refreshProgress(raft);
}

void refreshProgress(Raft& raft)
{
    if (raft.role != Role::Leader)
        return;
    std::map<VoterId, Progress> progress;
    for (const auto* list : { &raft.members.voters, &raft.members.learners }) {
        for (VoterId peer : *list) {
            if (peer == raft.options.self)
                continue;
            auto it = raft.progress.find(peer);
            if (it != raft.progress.end()) {
                progress.emplace(peer, std::move(it->second));
            } else {
                Progress added;
                added.next = lastIndex(raft.log) + 1;
                added.lastReply = raft.now;
                progress.emplace(peer, std::move(added));
            }
        }
    }
    raft.progress = std::move(progress);
}

static bool repliesRecently(const Raft& raft, VoterId voter)
{
    if (voter == raft.options.self)
        return true;
    auto it = raft.progress.find(voter);
    return it != raft.progress.end() && it->second.replied && raft.now - it->second.lastReply < raft.options.electionMin;
}

static bool keepsLiveQuorum(const Raft& raft, const Members& members)
{
    const auto live = std::count_if(members.voters.begin(), members.voters.end(), [&](VoterId it) { return repliesRecently(raft, it); });
    return static_cast<size_t>(live) >= quorum(members);
}

static constexpr size_t maxVoters = 7;

static void insertSorted(std::vector<VoterId>& list, VoterId voter)
{
    list.insert(std::lower_bound(list.begin(), list.end(), voter), voter);
}

static std::string addLearner(Members& members, VoterId voter)
{
    if (isVoter(members, voter) || isLearner(members, voter))
        return "it is already a member";
    if (members.learners.size() + members.voters.size() >= maxMembers)
        return "the group has too many members";
    insertSorted(members.learners, voter);
    return {};
}

static std::string promote(const Raft& raft, Members& members, VoterId voter)
{
    if (!isLearner(members, voter))
        return "it is not a learner";
    if (members.voters.size() >= maxVoters)
        return "the group already has 7 voters";
    if (!repliesRecently(raft, voter))
        return "it does not reply";
    if (raft.progress.at(voter).match + raft.options.maxPromotionLag < lastIndex(raft.log))
        return "it has not caught up";
    std::erase(members.learners, voter);
    insertSorted(members.voters, voter);
    return {};
}

static std::string removeMember(Members& members, VoterId voter)
{
    if (!std::erase(members.voters, voter) && !std::erase(members.learners, voter))
        return "it is not a member";
    return members.voters.empty() ? "it is the last voter" : std::string();
}

/// Applies the change to `members`. Returns the reason if it is rejected, else an empty string.
static std::string applyMemberChange(const Raft& raft, MemberChange change, VoterId voter, Members& members)
{
    if (change == MemberChange::AddLearner)
        return addLearner(members, voter);
    std::string reason = change == MemberChange::Promote ? promote(raft, members, voter) : removeMember(members, voter);
    if (reason.empty() && !keepsLiveQuorum(raft, members))
        reason = "the change would leave the group without a quorum of responsive voters";
    return reason;
}

uint64_t appendMemberChange(Raft& raft, MemberChange change, VoterId voter, std::string& reason)
{
    if (raft.role != Role::Leader || raft.transferTarget) {
        reason = "not the leader";
        return 0;
    }
    if (raft.membersIndex > raft.commit || raft.termStart > raft.commit) {
        reason = "an earlier change is not committed yet";
        return 0;
    }
    Members members = raft.members;
    reason = applyMemberChange(raft, change, voter, members);
    if (!reason.empty())
        return 0;
    return appendEntry(raft, EntryKind::Members, encodeMembers(members));
}

void appendInitialMembers(Raft& raft, const Members& members)
{
    INVARIANT(lastIndex(raft.log) == 0 && raft.hardState.term == 0, "only a member without state bootstraps a group", "last",
        lastIndex(raft.log), "term", raft.hardState.term);
    setVote(raft, 1, {});
    appendLocal(raft, { .index = 1, .term = 1, .kind = EntryKind::Members, .data = encodeMembers(members) });
}

}
