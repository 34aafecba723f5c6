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

static std::vector<Message> sent(Raft& raft)
{
    return std::exchange(raft.outbox, {});
}

static std::string encoded(const Message& message)
{
    std::ostringstream stream;
    cereal::PortableBinaryOutputArchive archive(stream);
    archive(message);
    return stream.str();
}

static Message from(const Raft& raft, VoterId sender, MessageKind kind, uint64_t term)
{
    Message message { .cluster = 7, .group = { 1 }, .from = sender, .to = raft.options.self, .kind = kind, .term = term };
    message.index = lastIndex(raft.log);
    message.logTerm = lastTerm(raft.log);
    return message;
}

/// Makes the member leader of a group of three with the votes of b; its Noop is not durable yet.
static Raft makeLeader()
{
    Raft raft = makeMember(a, { a, b, c });
    tickRaft(raft, 2000_ms);
    receiveMessage(raft, from(raft, b, MessageKind::PreVoteReply, 2), 2000_ms);
    writesDurable(raft, collectWrites(raft)->sequence);
    receiveMessage(raft, from(raft, b, MessageKind::VoteReply, 2), 2000_ms);
    BOOST_REQUIRE(raft.role == Role::Leader);
    return raft;
}

// Guards against a leader that counts its own append before its disk holds it.
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

// Guards against an answer that promises a vote or entries which a crash would still lose.
BOOST_AUTO_TEST_CASE(repliesWaitForTheWriteTheyDependOn)
{
    Raft raft = makeMember(b, { a, b, c });
    Message vote = from(raft, a, MessageKind::Vote, 5);
    receiveMessage(raft, vote, 600_ms);
    BOOST_TEST(sent(raft).empty());
    writesDurable(raft, collectWrites(raft)->sequence);
    auto messages = sent(raft);
    BOOST_REQUIRE(messages.size() == 1);
    BOOST_TEST(!messages[0].reject);

    Message append = from(raft, a, MessageKind::Append, 5);
    append.entries.push_back({ .index = 2, .term = 5, .kind = EntryKind::Noop, .data = {} });
    receiveMessage(raft, append, 610_ms);
    BOOST_TEST(sent(raft).empty());
    const auto writes = collectWrites(raft);
    BOOST_TEST(writes->entries.size() == 1);
    writesDurable(raft, writes->sequence);
    messages = sent(raft);
    BOOST_REQUIRE(messages.size() == 1);
    BOOST_TEST(messages[0].index == 2);
}

// Guards against two votes in one term, also after a restart between them.
BOOST_AUTO_TEST_CASE(secondCandidateOfATermIsRefused)
{
    Raft raft = makeMember(c, { a, b, c });
    receiveMessage(raft, from(raft, a, MessageKind::Vote, 5), 600_ms);
    const auto writes = collectWrites(raft);
    Raft again = makeRaft(raft.options, *writes->hardState, {}, { raft.log.entries.begin(), raft.log.entries.end() }, 700_ms);
    receiveMessage(again, from(again, b, MessageKind::Vote, 5), 1300_ms);
    const auto messages = sent(again);
    BOOST_REQUIRE(messages.size() == 1);
    BOOST_TEST(messages[0].reject);
}

// Guards against a vote that lets a second leader appear while the first one still answers reads under its lease.
BOOST_AUTO_TEST_CASE(votesAreWithheldDuringTheLease)
{
    Raft raft = makeMember(b, { a, b, c });
    receiveMessage(raft, from(raft, a, MessageKind::Heartbeat, 1), 1000_ms);
    sent(raft);
    receiveMessage(raft, from(raft, c, MessageKind::Vote, 2), 1499_ms);
    BOOST_TEST(raft.hardState.term == 1);
    receiveMessage(raft, from(raft, c, MessageKind::PreVote, 2), 1499_ms);
    const auto messages = sent(raft);
    BOOST_REQUIRE(messages.size() == 1);
    BOOST_TEST(messages[0].reject);
    receiveMessage(raft, from(raft, c, MessageKind::Vote, 2), 1500_ms);
    BOOST_TEST((raft.hardState.vote == c));
}

// Guards against a vote by a voter that restarted and forgot that it has just answered a leader.
BOOST_AUTO_TEST_CASE(votesAreWithheldAfterAStart)
{
    Raft raft = makeRaft({ .cluster = 7, .group = { 1 }, .self = b }, {}, {}, {}, 1000_ms);
    receiveMessage(raft, from(raft, c, MessageKind::Vote, 2), 1499_ms);
    BOOST_TEST(raft.hardState.term == 0);
    receiveMessage(raft, from(raft, c, MessageKind::Vote, 2), 1500_ms);
    BOOST_TEST((raft.hardState.vote == c));
}

// Guards against the commit of an entry of a former term by its count alone: a later leader may still replace it.
BOOST_AUTO_TEST_CASE(entriesOfFormerTermsAreCommittedWithOneOfTheOwn)
{
    Raft raft = makeLeader();
    writesDurable(raft, collectWrites(raft)->sequence);
    Message reply = from(raft, b, MessageKind::AppendReply, 2);
    reply.index = 1;
    receiveMessage(raft, reply, 2000_ms);
    BOOST_TEST(raft.commit == 0);
    reply.index = 2;
    receiveMessage(raft, reply, 2000_ms);
    BOOST_TEST(raft.commit == 2);
}

// Guards against reads by a leader that has ordered another voter to take over.
BOOST_AUTO_TEST_CASE(leaseEndsWithTheHandOver)
{
    Raft raft = makeLeader();
    writesDurable(raft, collectWrites(raft)->sequence);
    sendAppends(raft);
    Message reply = from(raft, b, MessageKind::AppendReply, 2);
    reply.sentAt = 2000_ms;
    receiveMessage(raft, reply, 2000_ms);
    BOOST_REQUIRE(isLeaseValid(raft, 2000_ms));
    BOOST_REQUIRE(startLeadershipTransfer(raft));
    sendAppends(raft);
    BOOST_TEST((sent(raft).back().kind == MessageKind::TimeoutNow));
    BOOST_TEST(!isLeaseValid(raft, 2000_ms));
    BOOST_TEST(appendEntry(raft, EntryKind::Command, "x") == 0);
}

// Guards against reads by a leader that has lost contact, and against a leader that never steps down.
BOOST_AUTO_TEST_CASE(leaseAndLeadershipEndWithoutReplies)
{
    Raft raft = makeLeader();
    sendAppends(raft);
    BOOST_TEST(!isLeaseValid(raft, 2000_ms));
    Message reply = from(raft, b, MessageKind::AppendReply, 2);
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

// Guards against unbounded memory and traffic towards a member that does not reply.
BOOST_AUTO_TEST_CASE(silentMemberGetsABoundedNumberOfAppends)
{
    Raft raft = makeLeader();
    sendAppends(raft);
    Message reply = from(raft, b, MessageKind::AppendReply, 2);
    receiveMessage(raft, reply, 2000_ms);
    sent(raft);
    for (int n = 0; n < 100; ++n) {
        appendEntry(raft, EntryKind::Command, std::string(1000, 'x'));
        sendAppends(raft);
    }
    size_t appends = 0;
    for (const auto& it : sent(raft))
        appends += it.to == b && it.kind == MessageKind::Append;
    BOOST_TEST(appends == raft.options.maxInflight);
    BOOST_TEST((raft.progress.at(c).state == SendState::Probe));
}

// Guards against one message per entry, and against messages that exceed the bound of the transport.
BOOST_AUTO_TEST_CASE(entriesTravelInBoundedBatches)
{
    Raft raft = makeLeader();
    sendAppends(raft);
    receiveMessage(raft, from(raft, b, MessageKind::AppendReply, 2), 2000_ms);
    sent(raft);
    for (int n = 0; n < 300; ++n)
        appendEntry(raft, EntryKind::Command, std::string(4000, 'x'));
    sendAppends(raft);
    size_t entries = 0;
    size_t appends = 0;
    for (const auto& it : sent(raft)) {
        if (it.to != b)
            continue;
        BOOST_TEST(encoded(it).size() <= maxMessageBytes);
        entries += it.entries.size();
        ++appends;
    }
    BOOST_TEST(entries == 300);
    BOOST_TEST(appends == 5);
}

// Guards against a member that is counted before it has the log: its loss would then cost the quorum.
BOOST_AUTO_TEST_CASE(learnerIsPromotedOnlyAfterCatchUp)
{
    Raft raft = makeLeader();
    Message reply = from(raft, b, MessageKind::AppendReply, 2);
    receiveMessage(raft, reply, 2000_ms);
    writesDurable(raft, collectWrites(raft)->sequence);
    BOOST_REQUIRE(raft.commit == raft.termStart);
    std::string reason;
    const VoterId fresh { 4 };
    BOOST_REQUIRE(appendMemberChange(raft, MemberChange::AddLearner, fresh, reason));
    BOOST_TEST(!appendMemberChange(raft, MemberChange::AddLearner, VoterId { 5 }, reason));
    BOOST_TEST(reason == "an earlier change is not committed yet");
    for (int n = 0; n < 100; ++n)
        appendEntry(raft, EntryKind::Command, "x");
    reply.index = lastIndex(raft.log);
    receiveMessage(raft, reply, 2010_ms);
    writesDurable(raft, collectWrites(raft)->sequence);
    BOOST_TEST(!appendMemberChange(raft, MemberChange::Promote, fresh, reason));
    BOOST_TEST(reason == "it does not reply");
    reply.from = fresh;
    reply.index = 10;
    receiveMessage(raft, reply, 2020_ms);
    BOOST_TEST(!appendMemberChange(raft, MemberChange::Promote, fresh, reason));
    BOOST_TEST(reason == "it has not caught up");
    reply.index = lastIndex(raft.log);
    receiveMessage(raft, reply, 2020_ms);
    BOOST_TEST(appendMemberChange(raft, MemberChange::Promote, fresh, reason) != 0);
}

// Guards against a length in a message that makes the receiver allocate more than the bound.
BOOST_AUTO_TEST_CASE(oversizedListIsRefusedBeforeAllocation)
{
    Message message;
    message.entries.resize(maxMessageEntries);
    // The count of entries follows the fixed fields, which an empty message shows: its count is 0.
    std::string bytes = encoded(message);
    const std::string empty = encoded({});
    const auto at = std::mismatch(empty.begin(), empty.end(), bytes.begin()).second - bytes.begin();
    // The counts differ in the second of four bytes; the fourth is the highest.
    bytes[static_cast<size_t>(at) + 2] = '\x7f';
    std::istringstream in(bytes);
    cereal::PortableBinaryInputArchive archive(in);
    Message decoded;
    BOOST_CHECK_THROW(archive(decoded), cereal::Exception);
    BOOST_TEST(decoded.entries.capacity() <= maxMessageEntries);
}
