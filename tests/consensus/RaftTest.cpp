#include "consensus/Raft.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <sstream>

using namespace siskinshunt;

static constexpr VoterId a { 1 };
static constexpr VoterId b { 2 };
static constexpr VoterId c { 3 };

static Raft makeMember(VoterId self, const std::vector<VoterId>& voters)
{
    Raft raft = makeRaft({ .cluster = 7, .group = { 1 }, .self = self }, {}, {}, {}, 0_ms);
    appendInitialMembers(raft, { .voters = voters, .learners = {} });
    writesDurable(raft, collectWrites(raft)->sequence);
    return raft;
}

static std::vector<Message> takeSent(Raft& raft)
{
    return std::exchange(raft.outbox, {});
}

static std::string encode(const Message& message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    return stream.str();
}

static Message makeFrom(const Raft& raft, VoterId sender, MessageKind kind, uint64_t term)
{
    Message message { .cluster = 7, .group = { 1 }, .from = sender, .to = raft.options.self, .kind = kind, .term = term };
    message.index = lastIndex(raft.log);
    message.logTerm = lastTerm(raft.log);
    return message;
}

/// Makes the member the leader of a group of three with the vote of b; its Noop is not durable yet.
static Raft makeLeader()
{
    Raft raft = makeMember(a, { a, b, c });
    tickRaft(raft, 2000_ms);
    receiveMessage(raft, makeFrom(raft, b, MessageKind::PreVoteReply, 2), 2000_ms);
    writesDurable(raft, collectWrites(raft)->sequence);
    receiveMessage(raft, makeFrom(raft, b, MessageKind::VoteReply, 2), 2000_ms);
    BOOST_REQUIRE(raft.role == Role::Leader);
    return raft;
}

// Guards against a leader that counts its own append towards the quorum before the entry is durable.
BOOST_AUTO_TEST_CASE(ownAppendCountsOnlyAfterSync)
{
    Raft raft = makeMember(a, { a });
    tickRaft(raft, 2000_ms);
    BOOST_TEST((raft.role == Role::Candidate));
    writesDurable(raft, collectWrites(raft)->sequence);
    BOOST_REQUIRE((raft.role == Role::Leader));
    const uint64_t index = appendEntry(raft, EntryKind::Command, "x");
    const auto writes = collectWrites(raft);
    BOOST_TEST(raft.commit < index);
    writesDurable(raft, writes->sequence);
    BOOST_TEST(raft.commit == index);
}

// Guards against a reply that confirms a vote or entries which are not durable yet and would be lost in a crash.
BOOST_AUTO_TEST_CASE(repliesWaitForDurableWrites)
{
    Raft raft = makeMember(b, { a, b, c });
    Message vote = makeFrom(raft, a, MessageKind::Vote, 5);
    receiveMessage(raft, vote, 600_ms);
    BOOST_TEST(takeSent(raft).empty());
    writesDurable(raft, collectWrites(raft)->sequence);
    auto messages = takeSent(raft);
    BOOST_REQUIRE(messages.size() == 1);
    BOOST_TEST(!messages[0].reject);

    Message append = makeFrom(raft, a, MessageKind::Append, 5);
    append.entries.push_back({ .index = 2, .term = 5, .kind = EntryKind::Noop, .data = {} });
    receiveMessage(raft, append, 610_ms);
    BOOST_TEST(takeSent(raft).empty());
    const auto writes = collectWrites(raft);
    BOOST_TEST(writes->entries.size() == 1);
    writesDurable(raft, writes->sequence);
    messages = takeSent(raft);
    BOOST_REQUIRE(messages.size() == 1);
    BOOST_TEST(messages[0].index == 2);
}

// Guards against two votes in the same term, including a restart between them.
BOOST_AUTO_TEST_CASE(secondCandidateOfATermIsRejected)
{
    Raft raft = makeMember(c, { a, b, c });
    receiveMessage(raft, makeFrom(raft, a, MessageKind::Vote, 5), 600_ms);
    const auto writes = collectWrites(raft);
    Raft restarted = makeRaft(raft.options, *writes->hardState, {}, { raft.log.entries.begin(), raft.log.entries.end() }, 700_ms);
    receiveMessage(restarted, makeFrom(restarted, b, MessageKind::Vote, 5), 1300_ms);
    const auto messages = takeSent(restarted);
    BOOST_REQUIRE(messages.size() == 1);
    BOOST_TEST(messages[0].reject);
}

// Guards against the election of a second leader while the first one still answers reads under its lease.
BOOST_AUTO_TEST_CASE(votesAreWithheldDuringTheLease)
{
    Raft raft = makeMember(b, { a, b, c });
    receiveMessage(raft, makeFrom(raft, a, MessageKind::Heartbeat, 1), 1000_ms);
    takeSent(raft);
    receiveMessage(raft, makeFrom(raft, c, MessageKind::Vote, 2), 1499_ms);
    BOOST_TEST(raft.hardState.term == 1);
    receiveMessage(raft, makeFrom(raft, c, MessageKind::PreVote, 2), 1499_ms);
    const auto messages = takeSent(raft);
    BOOST_REQUIRE(messages.size() == 1);
    BOOST_TEST(messages[0].reject);
    receiveMessage(raft, makeFrom(raft, c, MessageKind::Vote, 2), 1500_ms);
    BOOST_TEST((raft.hardState.vote == c));
}

// Guards against a vote by a voter that acknowledged a leader's request just before it restarted: the lease of that leader
// still relies on it.
BOOST_AUTO_TEST_CASE(votesAreWithheldAfterARestart)
{
    Raft raft = makeRaft({ .cluster = 7, .group = { 1 }, .self = b }, {}, {}, {}, 1000_ms);
    receiveMessage(raft, makeFrom(raft, c, MessageKind::Vote, 2), 1499_ms);
    BOOST_TEST(raft.hardState.term == 0);
    receiveMessage(raft, makeFrom(raft, c, MessageKind::Vote, 2), 1500_ms);
    BOOST_TEST((raft.hardState.vote == c));
}

// Guards against committing an entry of an earlier term by counting replicas: a later leader may still replace it.
BOOST_AUTO_TEST_CASE(entriesOfEarlierTermsAreCommittedWithAnEntryOfTheCurrentTerm)
{
    Raft raft = makeLeader();
    writesDurable(raft, collectWrites(raft)->sequence);
    Message reply = makeFrom(raft, b, MessageKind::AppendReply, 2);
    reply.index = 1;
    receiveMessage(raft, reply, 2000_ms);
    BOOST_TEST(raft.commit == 0);
    reply.index = 2;
    receiveMessage(raft, reply, 2000_ms);
    BOOST_TEST(raft.commit == 2);
}

// Guards against reads by a leader that has told another voter to start an election.
BOOST_AUTO_TEST_CASE(leaseEndsWithLeadershipTransfer)
{
    Raft raft = makeLeader();
    writesDurable(raft, collectWrites(raft)->sequence);
    sendAppends(raft);
    Message reply = makeFrom(raft, b, MessageKind::AppendReply, 2);
    reply.sentAt = 2000_ms;
    receiveMessage(raft, reply, 2000_ms);
    BOOST_REQUIRE(isLeaseValid(raft, 2000_ms));
    BOOST_REQUIRE(startLeadershipTransfer(raft));
    sendAppends(raft);
    BOOST_TEST((takeSent(raft).back().kind == MessageKind::TimeoutNow));
    BOOST_TEST(!isLeaseValid(raft, 2000_ms));
    BOOST_TEST(appendEntry(raft, EntryKind::Command, "x") == 0);
}

// Guards against lease reads by a leader that gets no replies, and against such a leader that never steps down.
BOOST_AUTO_TEST_CASE(leaseAndLeadershipEndWithoutReplies)
{
    Raft raft = makeLeader();
    sendAppends(raft);
    BOOST_TEST(!isLeaseValid(raft, 2000_ms));
    Message reply = makeFrom(raft, b, MessageKind::AppendReply, 2);
    reply.sentAt = 2000_ms;
    receiveMessage(raft, reply, 2010_ms);
    writesDurable(raft, collectWrites(raft)->sequence);
    BOOST_TEST(isLeaseValid(raft, 2449_ms));
    BOOST_TEST(!isLeaseValid(raft, 2450_ms));
    tickRaft(raft, 2509_ms);
    BOOST_TEST((raft.role == Role::Leader));
    tickRaft(raft, 2510_ms);
    BOOST_TEST((raft.role == Role::Follower));
}

// Guards against unbounded memory and traffic for a member that does not reply.
BOOST_AUTO_TEST_CASE(appendsToAnUnresponsiveMemberAreBounded)
{
    Raft raft = makeLeader();
    sendAppends(raft);
    Message reply = makeFrom(raft, b, MessageKind::AppendReply, 2);
    receiveMessage(raft, reply, 2000_ms);
    takeSent(raft);
    for (int n = 0; n < 100; ++n) {
        appendEntry(raft, EntryKind::Command, std::string(1000, 'x'));
        sendAppends(raft);
    }
    size_t appends = 0;
    for (const auto& it : takeSent(raft))
        appends += it.to == b && it.kind == MessageKind::Append;
    BOOST_TEST(appends == raft.options.maxInflight);
    BOOST_TEST((raft.progress.at(c).state == SendState::Probe));
}

// Guards against a leader whose memory fills with large entries on their way to members that do not reply.
BOOST_AUTO_TEST_CASE(largeAppendsToAnUnresponsiveMemberAreBoundedInBytes)
{
    Raft raft = makeLeader();
    sendAppends(raft);
    receiveMessage(raft, makeFrom(raft, b, MessageKind::AppendReply, 2), 2000_ms);
    takeSent(raft);
    for (int n = 0; n < 40; ++n)
        appendEntry(raft, EntryKind::Command, std::string(500000, 'x'));
    sendAppends(raft);
    size_t bytes = 0;
    for (const auto& it : takeSent(raft)) {
        for (const auto& entry : it.entries)
            bytes += it.to == b ? entry.data.size() : 0;
    }
    BOOST_TEST(bytes > 0U);
    BOOST_TEST(bytes <= raft.options.maxInflightBytes + maxCommandBytes);
}

// Guards against a log that keeps hundreds of large entries in memory behind its snapshot.
BOOST_AUTO_TEST_CASE(compactedLogIsBoundedInBytes)
{
    Raft raft = makeLeader();
    for (int n = 0; n < 40; ++n)
        appendEntry(raft, EntryKind::Command, std::string(500000, 'x'));
    writesDurable(raft, collectWrites(raft)->sequence);
    const uint64_t last = lastIndex(raft.log);
    receiveMessage(raft, makeFrom(raft, b, MessageKind::AppendReply, 2), 2000_ms);
    BOOST_REQUIRE(raft.commit == last);
    const Snapshot snapshot { .meta = { .index = last, .term = 2, .members = raft.members }, .bytes = std::make_shared<const std::string>("state") };
    compactLog(raft, snapshot, 500, 4 << 20);
    size_t bytes = 0;
    for (const auto& entry : raft.log.entries)
        bytes += entry.data.size();
    BOOST_TEST(bytes > 0U);
    BOOST_TEST(bytes <= 4U << 20);
}

// Guards against one message per entry, and against messages that exceed the size limit of the transport.
BOOST_AUTO_TEST_CASE(entriesAreSentInBoundedBatches)
{
    Raft raft = makeLeader();
    sendAppends(raft);
    receiveMessage(raft, makeFrom(raft, b, MessageKind::AppendReply, 2), 2000_ms);
    takeSent(raft);
    for (int n = 0; n < 300; ++n)
        appendEntry(raft, EntryKind::Command, std::string(4000, 'x'));
    sendAppends(raft);
    size_t entries = 0;
    size_t appends = 0;
    for (const auto& it : takeSent(raft)) {
        if (it.to != b)
            continue;
        BOOST_TEST(encode(it).size() <= maxMessageBytes);
        entries += it.entries.size();
        ++appends;
    }
    BOOST_TEST(entries == 300);
    BOOST_TEST(appends == 5);
}

// Guards against a voter that counts for the quorum before it has caught up: the loss of another voter would then stop
// commits.
BOOST_AUTO_TEST_CASE(learnerIsPromotedOnlyAfterCatchUp)
{
    Raft raft = makeLeader();
    Message reply = makeFrom(raft, b, MessageKind::AppendReply, 2);
    receiveMessage(raft, reply, 2000_ms);
    writesDurable(raft, collectWrites(raft)->sequence);
    BOOST_REQUIRE(raft.commit == raft.termStart);
    std::string reason;
    const VoterId learner { 4 };
    BOOST_REQUIRE(appendMemberChange(raft, MemberChange::AddLearner, learner, reason));
    BOOST_TEST(!appendMemberChange(raft, MemberChange::AddLearner, VoterId { 5 }, reason));
    BOOST_TEST(reason == "an earlier change is not committed yet");
    for (int n = 0; n < 100; ++n)
        appendEntry(raft, EntryKind::Command, "x");
    reply.index = lastIndex(raft.log);
    receiveMessage(raft, reply, 2010_ms);
    writesDurable(raft, collectWrites(raft)->sequence);
    BOOST_TEST(!appendMemberChange(raft, MemberChange::Promote, learner, reason));
    BOOST_TEST(reason == "it does not reply");
    reply.from = learner;
    reply.index = 10;
    receiveMessage(raft, reply, 2020_ms);
    BOOST_TEST(!appendMemberChange(raft, MemberChange::Promote, learner, reason));
    BOOST_TEST(reason == "it has not caught up");
    reply.index = lastIndex(raft.log);
    receiveMessage(raft, reply, 2020_ms);
    BOOST_TEST(appendMemberChange(raft, MemberChange::Promote, learner, reason) != 0);
}

// Guards against a list length in a message that makes the receiver allocate memory beyond the limit.
BOOST_AUTO_TEST_CASE(oversizedListIsRejectedBeforeAllocation)
{
    Message message;
    message.entries.resize(maxMessageEntries);
    // The entry count follows the fixed fields. Its position is the first difference from an empty message, whose count is 0.
    std::string bytes = encode(message);
    const std::string empty = encode({});
    const auto at = std::mismatch(empty.begin(), empty.end(), bytes.begin()).second - bytes.begin();
    // The counts differ in the second of four bytes; the fourth byte is the most significant.
    bytes[static_cast<size_t>(at) + 2] = '\x7f';
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    Message decoded;
    BOOST_CHECK_THROW(archive(decoded), cereal::Exception);
    BOOST_TEST(decoded.entries.capacity() <= maxMessageEntries);
}
