#include "node/Groups.h"

#include "base/Invariant.h"
#include "node/ControlFlow.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

static constexpr TimeMs resendInterval { 300 };
static constexpr size_t maxCommands = 20000;

// Wraps the state machine of the decision log to notify the node of each applied command.
static StateMachine decisionMachine(Node& node)
{
    StateMachine machine = controlStateMachine(node.decisionLog);
    auto apply = machine.apply;
    auto restore = machine.restore;
    machine.apply = [&node, apply](uint64_t index, std::string_view command) {
        auto reply = apply(index, command);
        decisionApplied(node, index, command);
        return reply;
    };
    machine.restore = [&node, restore](std::string_view bytes) {
        if (!restore(bytes))
            return false;
        node.directives.clear();
        // The index of the restored state is unknown until the next command. A view with the old index and the new rules
        // would make rules revisions go backwards on the nodes that follow it.
        node.decisionIndex = 0;
        return true;
    };
    return machine;
}

static ReplicaOptions replicaOptions(const Node& node, GroupId group)
{
    const auto& timings = node.options.settings.timings;
    return {
        .cluster = node.cluster,
        .group = group,
        .self = node.options.voter,
        .seed = combineHash(node.options.seed, group.value),
        .heartbeat = timings.heartbeat,
        .electionMin = timings.electionMin,
        .electionMax = timings.electionMax,
        .lease = timings.electionMin * 9 / 10,
    };
}

static Result<void> openGroup(Node& node, GroupId id)
{
    Group& group = node.groups[id];
    group.id = id;
    if (id != decisionGroup) {
        group.ledger = std::make_unique<Ledger>();
        group.ledger->settings.retention = node.options.settings.timings.ledgerRetention;
    }
    auto& state = node.options.recovered[id];
    auto machine = group.ledger ? ledgerStateMachine(*group.ledger) : decisionMachine(node);
    BOOST_LEAF_ASSIGN(group.replica, openReplica(replicaOptions(node, id), std::move(machine), std::move(state), node.now));
    return {};
}

Result<void> openGroups(Node& node)
{
    if (!node.options.voter)
        return {};
    for (uint32_t n = 0; n <= node.options.settings.ledgerGroups; ++n)
        BOOST_LEAF_CHECK(openGroup(node, GroupId { decisionGroup.value + n }));
    return {};
}

bool hasGroups(const Node& node)
{
    const auto it = node.groups.find(decisionGroup);
    return it != node.groups.end() && !status(*it->second.replica).voters.empty();
}

// Another node that has the voter and is in this state or a better one.
static NodeId otherNodeOfVoter(const Node& node, VoterId voter, MemberState worst)
{
    for (const auto& [id, member] : node.membership.members) {
        if (voter && member.status.voter == voter && member.status.state <= worst)
            return id;
    }
    return {};
}

NodeId nodeOfVoter(const Node& node, VoterId voter)
{
    return voter && voter == node.options.voter ? node.self : otherNodeOfVoter(node, voter, MemberState::Alive);
}

// The node to which messages for the voter are sent. One that is only suspected gets them too: datagrams can be lost while connections work,
// and a leader that is silent towards a voter loses its lease.
static NodeId addresseeOf(const Node& node, VoterId voter)
{
    return otherNodeOfVoter(node, voter, MemberState::Suspect);
}

bool leadsGroup(const Node& node, const Group& group)
{
    return canRead(*group.replica, node.now);
}

static void finishCommand(Node& node, uint64_t request, bool applied, const std::string& reply)
{
    const auto it = node.commands.find(request);
    if (it == node.commands.end())
        return;
    const auto done = std::move(it->second.done);
    node.commands.erase(it);
    done(node, applied, reply);
}

static void replyToProposer(Node& node, GroupId group, NodeId proposer, const ProposeReplyFrame& reply)
{
    sendFrame(node, proposer, FrameKind::ProposeReply, group, encode(reply));
}

static void handleOutcome(Node& node, Group& group, const ProposalOutcome& outcome)
{
    const auto it = group.proposals.find(outcome.proposal);
    if (it == group.proposals.end())
        return;
    const LocalProposal proposal = it->second;
    group.proposals.erase(it);
    const bool applied = outcome.status == ProposalStatus::Applied;
    if (proposal.proposer) {
        const auto result = applied ? ProposeResult::Applied : outcome.status == ProposalStatus::NotApplied ? ProposeResult::NotLeader
                                                                                                            : ProposeResult::Unknown;
        return replyToProposer(node, group.id, proposal.proposer, { proposal.request, result, applied ? outcome.reply : std::string {}, outcome.leader });
    }
    if (applied)
        return finishCommand(node, proposal.request, true, outcome.reply);
    const auto command = node.commands.find(proposal.request);
    if (command != node.commands.end()) {
        command->second.leaderHint = outcome.leader;
        command->second.nextSend = node.now + TimeMs { 20 };
    }
}

static void proposeLocally(Node& node, Group& group, uint64_t request, NodeId proposer, const std::string& command)
{
    const uint64_t id = propose(*group.replica, command);
    group.proposals[id] = { request, proposer };
    (void)node;
}

// Selects the voter to send the command to: the hinted leader if it is alive, otherwise a random live voter.
static NodeId commandTarget(Node& node, const PendingCommand& command)
{
    if (const NodeId hinted = nodeOfVoter(node, command.leaderHint); hinted && hinted != node.self)
        return hinted;
    std::vector<NodeId> voters;
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.voter && isAlive(node.membership, id))
            voters.push_back(id);
    }
    if (voters.empty())
        return {};
    std::sort(voters.begin(), voters.end());
    return voters[node.random.below(voters.size())];
}

static std::string lookUpLocally(const Group& group, CallId call, const std::string& account)
{
    const CallRecord* record = findByCall(*group.ledger, call);
    if (!record || record->account != account)
        return encodeLedgerReply({ .outcome = LedgerOutcome::NotFound, .call = call });
    return encodeLedgerReply(lookUpCall(*group.ledger, call));
}

static void sendCommand(Node& node, uint64_t request, PendingCommand& command)
{
    command.nextSend = node.now + resendInterval;
    ++command.tries;
    const auto it = node.groups.find(command.group);
    if (it != node.groups.end()) {
        Group& group = it->second;
        const auto state = status(*group.replica);
        if (state.role == Role::Leader) {
            if (command.command.empty()) {
                if (canRead(*group.replica, node.now) && group.ledger)
                    finishCommand(node, request, true, lookUpLocally(group, command.call, command.account));
                return;
            }
            return proposeLocally(node, group, request, {}, command.command);
        }
        if (state.leader)
            command.leaderHint = state.leader;
    }
    const NodeId target = commandTarget(node, command);
    if (!target)
        return;
    if (command.command.empty())
        sendFrame(node, target, FrameKind::LookUp, command.group, encode(LookUpFrame { request, command.call, command.account }));
    else
        sendFrame(node, target, FrameKind::Propose, command.group, encode(ProposeFrame { request, command.command }));
}

static void addCommand(Node& node, PendingCommand command)
{
    if (node.commands.size() >= maxCommands)
        return command.done(node, false, {});
    const uint64_t request = ++node.lastRequest;
    auto& stored = node.commands[request];
    stored = std::move(command);
    sendCommand(node, request, stored);
}

void proposeCommand(Node& node, GroupId group, std::string command, TimeMs timeout, ProposalDone done)
{
    addCommand(node, { .group = group, .command = std::move(command), .call = {}, .account = {}, .done = std::move(done), .until = node.now + timeout, .nextSend = {}, .leaderHint = {} });
}

void lookUpLedgerCall(Node& node, CallId call, const std::string& account, TimeMs timeout, ProposalDone done)
{
    const GroupId group = groupOfCall(call, node.options.settings.ledgerGroups);
    addCommand(node, { .group = group, .command = {}, .call = call, .account = account, .done = std::move(done), .until = node.now + timeout, .nextSend = {}, .leaderHint = {} });
}

void receiveConsensus(Node& node, GroupId id, std::string_view body)
{
    const auto it = node.groups.find(id);
    if (it == node.groups.end())
        return countDrop(node, DropReason::BadGroup);
    const bool ok = handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(message, decode<Message>(body, maxMessageBytes));
            receive(*it->second.replica, message, node.now);
            return true;
        },
        [](const Error&) { return false; });
    if (!ok)
        countDrop(node, DropReason::BadBody);
}

void receivePropose(Node& node, NodeId from, GroupId id, std::string_view body)
{
    const auto it = node.groups.find(id);
    if (it == node.groups.end())
        return countDrop(node, DropReason::BadGroup);
    const auto frame = decodeOr<ProposeFrame>(body, maxCommandBytes + 64);
    if (!frame.request || frame.command.empty())
        return countDrop(node, DropReason::BadBody);
    Group& group = it->second;
    const auto state = status(*group.replica);
    if (state.role != Role::Leader)
        return replyToProposer(node, id, from, { frame.request, ProposeResult::NotLeader, {}, state.leader });
    // A resend of a proposal that is still in flight is ignored; the outcome of the first answers both.
    const bool inFlight = std::any_of(group.proposals.begin(), group.proposals.end(), [&](const auto& it) { return it.second.proposer == from && it.second.request == frame.request; });
    if (!inFlight)
        proposeLocally(node, group, frame.request, from, frame.command);
}

void receiveProposeReply(Node& node, GroupId, std::string_view body)
{
    const auto frame = decodeOr<ProposeReplyFrame>(body, maxCommandBytes + 64);
    const auto it = node.commands.find(frame.request);
    if (it == node.commands.end())
        return;
    if (frame.result == ProposeResult::Applied)
        return finishCommand(node, frame.request, true, frame.reply);
    it->second.leaderHint = frame.leader;
    it->second.nextSend = node.now + (frame.leader ? TimeMs { 0 } : TimeMs { 50 });
}

void receiveLookUp(Node& node, NodeId from, GroupId id, std::string_view body)
{
    const auto it = node.groups.find(id);
    const auto frame = decodeOr<LookUpFrame>(body, 1024);
    if (it == node.groups.end() || !it->second.ledger || !frame.request)
        return countDrop(node, DropReason::BadGroup);
    Group& group = it->second;
    LookUpReplyFrame reply { .request = frame.request, .answered = canRead(*group.replica, node.now), .reply = {}, .leader = status(*group.replica).leader };
    if (reply.answered)
        reply.reply = lookUpLocally(group, frame.call, frame.account);
    sendFrame(node, from, FrameKind::LookUpReply, id, encode(reply));
}

void receiveLookUpReply(Node& node, GroupId, std::string_view body)
{
    const auto frame = decodeOr<LookUpReplyFrame>(body, maxCommandBytes);
    const auto it = node.commands.find(frame.request);
    if (it == node.commands.end())
        return;
    if (frame.answered)
        return finishCommand(node, frame.request, true, frame.reply);
    it->second.leaderHint = frame.leader;
    it->second.nextSend = node.now + (frame.leader ? TimeMs { 0 } : TimeMs { 50 });
}

static void resendCommands(Node& node)
{
    std::vector<uint64_t> due;
    for (const auto& [request, command] : node.commands) {
        if (command.until <= node.now || command.nextSend <= node.now)
            due.push_back(request);
    }
    std::sort(due.begin(), due.end());
    for (const uint64_t request : due) {
        const auto it = node.commands.find(request);
        if (it == node.commands.end())
            continue;
        if (it->second.until <= node.now)
            finishCommand(node, request, false, {});
        else
            sendCommand(node, request, it->second);
    }
}

void flushGroups(Node& node)
{
    // Handling an outcome can create new proposals, so the loop repeats until there are no outcomes.
    for (bool again = true; again;) {
        again = false;
        for (auto& [id, group] : node.groups) {
            auto out = collectOutputs(*group.replica);
            for (auto& message : out.messages) {
                if (const NodeId to = addresseeOf(node, message.to))
                    sendFrame(node, to, FrameKind::Consensus, id, encode(message));
            }
            for (auto& request : out.disk)
                node.out.disk.push_back(std::move(request));
            for (auto& record : out.log)
                node.out.log.push_back(std::move(record));
            for (const auto& outcome : out.outcomes)
                handleOutcome(node, group, outcome);
            again = again || !out.outcomes.empty();
        }
    }
}

void tickGroups(Node& node)
{
    for (auto& [id, group] : node.groups)
        tick(*group.replica, node.now);
    resendCommands(node);
}

Result<void> bootstrapGroups(Node& node, const std::vector<std::string>& nodes)
{
    if (node.groups.empty())
        return fail(ErrorCode::Invalid, Step::Command, node.options.settings.node, "this node has no data folder, so that it cannot be a voter");
    std::vector<VoterId> voters;
    for (const auto& name : nodes) {
        const NodeId id = idOfName<NodeId>(name);
        const Member* member = findMember(node.membership, id);
        const VoterId voter = id == node.self ? node.options.voter : member ? member->status.voter
                                                                            : VoterId {};
        if (!voter || !isAlive(node.membership, id))
            return fail(ErrorCode::Invalid, Step::Command, name, "is not a live node with a data folder");
        voters.push_back(voter);
    }
    for (auto& [id, group] : node.groups)
        BOOST_LEAF_CHECK(bootstrap(*group.replica, voters));
    return {};
}

}
