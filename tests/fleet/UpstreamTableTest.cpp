#include "fleet/UpstreamTable.h"

#include "base/Random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

namespace {

const NodeId self { 1 };
const NodeId peer { 2 };

UpstreamTable makeTable(NodeId node = self)
{
    UpstreamTable table;
    table.self = node;
    return table;
}

Announcement runner(uint64_t sequence, uint64_t incarnation = 10)
{
    Announcement it;
    it.name = "runner-1";
    it.address = "10.0.0.1:8000";
    it.domain = "lhr-depot";
    it.model = "dossier";
    it.incarnation = incarnation;
    it.sequence = sequence;
    return it;
}

const UpstreamId id = idOfName<UpstreamId>("runner-1");
bool always(NodeId) { return true; }
bool never(NodeId) { return false; }

bool acceptsWork(const UpstreamTable& table, TimeMs now)
{
    const Upstream* it = findUpstream(table, id);
    return it && acceptsNewWork(*it, now, 3_s);
}

}

// Guards against old or repeated announcements, which arrive after a restart or a retry, that overwrite newer ones.
BOOST_AUTO_TEST_CASE(announcementsAreOrdered)
{
    UpstreamTable table = makeTable();
    BOOST_TEST((upsertAnnouncement(table, 0_s, runner(5)) == UpsertResult::Added));
    BOOST_TEST((upsertAnnouncement(table, 1_s, runner(5)) == UpsertResult::Stale));
    BOOST_TEST((upsertAnnouncement(table, 1_s, runner(4)) == UpsertResult::Stale));
    BOOST_TEST((upsertAnnouncement(table, 1_s, runner(6)) == UpsertResult::LoadOnly));
    BOOST_TEST((upsertAnnouncement(table, 2_s, runner(1, 11)) == UpsertResult::Added));
    BOOST_TEST((upsertAnnouncement(table, 2_s, runner(99, 10)) == UpsertResult::Stale));
    BOOST_TEST(upstreamsOf(table, "dossier").size() == 1U);
    Announcement other = runner(2, 11);
    other.model = "crew";
    BOOST_TEST((upsertAnnouncement(table, 3_s, other) == UpsertResult::Changed));
    BOOST_TEST(upstreamsOf(table, "dossier").empty());
    BOOST_TEST(upstreamsOf(table, "crew").size() == 1U);
    BOOST_TEST(upstreamsInDomain(table, "lhr-depot").size() == 1U);
}

// Guards against an announcement that would not fit into a datagram and would block the gossip queue.
BOOST_AUTO_TEST_CASE(oversizedAnnouncementIsRejected)
{
    UpstreamTable table = makeTable();
    Announcement it = runner(1);
    it.adapters.assign(3, std::string(250, 'a'));
    BOOST_TEST((upsertAnnouncement(table, 0_s, it) == UpsertResult::TooLarge));
    it.adapters = { std::string(256, 'a') };
    BOOST_TEST((upsertAnnouncement(table, 0_s, it) == UpsertResult::TooLarge));
    BOOST_TEST(table.entries.empty());
}

// Guards against new work for silent upstreams after 3 s and records that remain after 10 s, at a node that observes them.
BOOST_AUTO_TEST_CASE(silentUpstreamGetsNoWorkAndIsRemovedLater)
{
    UpstreamTable table = makeTable();
    upsertAnnouncement(table, 0_s, runner(1));
    expireUpstreams(table, 3_s, never);
    BOOST_TEST(acceptsWork(table, 3_s));
    expireUpstreams(table, 3_s + 1_ms, never);
    BOOST_TEST(!acceptsWork(table, 3_s + 1_ms));
    BOOST_TEST(!findUpstream(table, id)->observations[0].active);
    expireUpstreams(table, 10_s, never);
    BOOST_TEST(findUpstream(table, id));
    expireUpstreams(table, 10_s + 1_ms, never);
    BOOST_TEST(!findUpstream(table, id));
    BOOST_TEST(upstreamsOf(table, "dossier").empty());
}

// Guards against records from another node that expire while that node observes the upstream, or remain afterwards.
BOOST_AUTO_TEST_CASE(remoteRecordExpiresWithItsObservation)
{
    UpstreamTable table = makeTable();
    upsertRecord(table, 0_s, { runner(7), 7, {}, { { peer, 7, true } } });
    for (TimeMs now = 0_s; now < 60_s; now += 250_ms)
        expireUpstreams(table, now, always);
    BOOST_TEST(acceptsWork(table, 60_s));
    // The observer dies: no new work after 3 s, no record after 10 s.
    expireUpstreams(table, 64_s, never);
    BOOST_TEST(!acceptsWork(table, 64_s));
    expireUpstreams(table, 65_s, always);
    BOOST_TEST(acceptsWork(table, 65_s));
    // The observer withdraws its observation: no new work at once.
    UpstreamNotice silent { .id = id, .incarnation = 10, .contentSequence = 7, .observation = { peer, 9, false } };
    BOOST_TEST((applyNotice(table, 65_s, silent) == UpsertResult::Changed));
    BOOST_TEST(!acceptsWork(table, 65_s));
    BOOST_TEST((applyNotice(table, 65_s, silent) == UpsertResult::Stale));
    // A delayed copy of the former observation changes nothing.
    silent.observation = { peer, 8, true };
    BOOST_TEST((applyNotice(table, 66_s, silent) == UpsertResult::Stale));
    BOOST_TEST(!acceptsWork(table, 66_s));
}

// Guards against removing an upstream everywhere when one of its two observers loses the connection to it.
BOOST_AUTO_TEST_CASE(oneOfTwoObservationsIsSufficient)
{
    UpstreamTable table = makeTable();
    upsertRecord(table, 0_s, { runner(7), 7, {}, { { peer, 7, true }, { NodeId { 3 }, 7, true } } });
    applyNotice(table, 1_s, { .id = id, .incarnation = 10, .contentSequence = 7, .observation = { peer, 8, false } });
    expireUpstreams(table, 8_s, always);
    BOOST_TEST(acceptsWork(table, 8_s));
}

// Guards against an observation of this node from before its restart: the upstream would never expire anywhere.
BOOST_AUTO_TEST_CASE(restartedNodeWithdrawsItsOldObservation)
{
    UpstreamTable table = makeTable();
    const UpstreamRecord staleRecord { runner(7), 7, {}, { { self, 7, true }, { peer, 7, true } } };
    const auto withdrawals = [&] {
        const auto journal = consumeJournal(table);
        return std::count_if(journal.begin(), journal.end(), [](const auto& it) { return it.kind == UpstreamChangeKind::Observation && it.observer == self; });
    };
    upsertRecord(table, 0_s, staleRecord);
    const auto& observations = findUpstream(table, id)->observations;
    const auto own = std::find_if(observations.begin(), observations.end(), [](const auto& it) { return it.observer == self; });
    BOOST_REQUIRE(own != observations.end());
    BOOST_TEST(!own->active);
    BOOST_TEST(withdrawals() == 1);
    // A sender that repeats the record has missed the withdrawal, so each copy is answered by another withdrawal.
    upsertRecord(table, 1_s, staleRecord);
    BOOST_TEST(withdrawals() == 1);
}

// Guards against a record with this node as the only observer after this node has removed it. Such records remained at all
// other nodes forever (found by the soak with seed 5).
BOOST_AUTO_TEST_CASE(removedRecordIsWithdrawnWhenReceivedAgain)
{
    UpstreamTable table = makeTable();
    BOOST_TEST((upsertRecord(table, 0_s, { runner(7), 7, {}, { { self, 7, true } } }) == UpsertResult::Added));
    BOOST_TEST(!acceptsWork(table, 0_s));
    BOOST_TEST(!isObserved(table, *findUpstream(table, id), always));
    const auto journal = consumeJournal(table);
    BOOST_TEST(std::count_if(journal.begin(), journal.end(), [](const auto& it) { return it.kind == UpstreamChangeKind::Observation && it.observer == self; }) == 1);
    expireUpstreams(table, 8_s, always);
    BOOST_TEST(!findUpstream(table, id));
}

// Guards against new work for a leaving upstream after drain-within, counted from the first notice at any node.
BOOST_AUTO_TEST_CASE(drainTimeStartsWithTheFirstNotice)
{
    UpstreamTable table = makeTable();
    upsertRecord(table, 10_s, { runner(7), 7, {}, { { peer, 7, true } } });
    UpstreamNotice notice { .id = id, .incarnation = 10, .contentSequence = 8, .reclaimIn = 20_s, .leavingFor = 1_s, .observation = {} };
    BOOST_TEST((applyNotice(table, 11_s, notice) == UpsertResult::Changed));
    expireUpstreams(table, 12_s, always);
    BOOST_TEST(acceptsWork(table, 12_s));
    BOOST_TEST(!acceptsWork(table, 12_s + 500_ms));
    BOOST_TEST(findUpstream(table, id)->reclaimAt->value == 31000);
    const auto journal = consumeJournal(table);
    BOOST_TEST((journal.front().kind == UpstreamChangeKind::Record));
}

// Guards against tables that differ because the same messages arrived in another order.
BOOST_AUTO_TEST_CASE(mergesAreIndependentOfOrder)
{
    Random random(5);
    std::vector<std::function<void(UpstreamTable&)>> messages;
    for (uint64_t n = 1; n <= 6; ++n) {
        Announcement it = runner(n, 10 + n / 4);
        it.version = "v" + std::to_string(n);
        messages.emplace_back([=](UpstreamTable& table) { upsertRecord(table, 0_s, { it, n, {}, { { peer, n, true } } }); });
        messages.emplace_back([=](UpstreamTable& table) {
            applyNotice(table, 0_s, { .id = id, .incarnation = 11, .contentSequence = 6, .observation = { peer, n, n % 2 == 0 } });
        });
    }
    uint64_t digest = 0;
    for (int round = 0; round < 200; ++round) {
        for (size_t n = messages.size(); n > 1; --n)
            std::swap(messages[n - 1], messages[random.below(n)]);
        UpstreamTable table = makeTable();
        // Gossip repeats each message, so each also arrives after the record that it needs.
        for (int pass = 0; pass < 3; ++pass) {
            for (const auto& message : messages)
                message(table);
        }
        BOOST_REQUIRE(findUpstream(table, id));
        const uint64_t now = digestOf(*findUpstream(table, id));
        BOOST_TEST((digest == 0 || digest == now));
        digest = now;
    }
}

// Guards against accepting another upstream with a known ID and against an unbounded table.
BOOST_AUTO_TEST_CASE(collisionsAndFullTablesAreRejected)
{
    UpstreamTable table = makeTable();
    table.options.maxUpstreams = 1;
    upsertAnnouncement(table, 0_s, runner(1));
    Announcement second = runner(1);
    second.name = "runner-2";
    BOOST_TEST((upsertAnnouncement(table, 0_s, second) == UpsertResult::Full));
    table.entries[id].announced.name = "another name with the same id";
    BOOST_TEST((upsertAnnouncement(table, 0_s, runner(2)) == UpsertResult::Collision));
    BOOST_TEST((upsertRecord(table, 0_s, { runner(2), 2, {}, { { peer, 2, true } } }) == UpsertResult::Collision));
}

// Guards against a restarted node that claims to observe an upstream that it only knows from its storage, and against one that
// does not use the upstream until it announces itself.
BOOST_AUTO_TEST_CASE(restoredUpstreamExpiresUnlessAnnounced)
{
    UpstreamTable table = makeTable();
    BOOST_TEST((restoreUpstream(table, 10_s, runner(5), false) == UpsertResult::Added));
    BOOST_TEST(!isObserved(table, *findUpstream(table, id), always));
    BOOST_TEST(acceptsWork(table, 12_s));
    expireUpstreams(table, 12_s + 1_ms, always);
    BOOST_TEST(!acceptsWork(table, 12_s + 1_ms));
    BOOST_TEST((restoreUpstream(table, 13_s, runner(5), false) == UpsertResult::Stale));
    BOOST_TEST(!acceptsWork(table, 13_s));
    expireUpstreams(table, 20_s, always);
    BOOST_TEST(!findUpstream(table, id));
    // An announcement replaces the restored record, and the whole record is sent to the other nodes.
    restoreUpstream(table, 30_s, runner(5), false);
    consumeJournal(table);
    upsertAnnouncement(table, 31_s, runner(6));
    BOOST_TEST(isObserved(table, *findUpstream(table, id), never));
    const auto journal = consumeJournal(table);
    BOOST_TEST(std::any_of(journal.begin(), journal.end(), [](const auto& it) { return it.kind == UpstreamChangeKind::Record && !it.notice; }));
}

// Guards against restarted nodes that take all upstreams out of use before these had time to announce themselves, and against
// observations from before a restart that are never withdrawn, also if two restarted nodes hold each other's.
BOOST_AUTO_TEST_CASE(restartedNodeWithdrawsRestoredUpstreamsLater)
{
    UpstreamTable table = makeTable();
    restoreUpstream(table, 10_s, runner(5), false);
    const UpstreamRecord beforeRestart { runner(5), 5, {}, { { self, 1, true }, { peer, 1, true } } };
    const auto withdrawals = [&] {
        const auto journal = consumeJournal(table);
        return std::count_if(journal.begin(), journal.end(), [](const auto& it) { return it.kind == UpstreamChangeKind::Observation && it.observer == self; });
    };
    upsertRecord(table, 11_s, beforeRestart);
    BOOST_TEST(withdrawals() == 0);
    expireUpstreams(table, 12_s, always);
    upsertRecord(table, 12_s + 1_ms, beforeRestart);
    BOOST_TEST(withdrawals() == 1);
}

// Guards against an observation from before a restart that stays at nodes whose records do not reach the restarted node: they
// used lost upstreams for more than 13 s.
BOOST_AUTO_TEST_CASE(restartedNodeWithdrawsWhatItObserved)
{
    UpstreamTable table = makeTable();
    restoreUpstream(table, 10_s, runner(5), true);
    consumeJournal(table);
    expireUpstreams(table, 12_s, always);
    BOOST_TEST(consumeJournal(table).empty());
    expireUpstreams(table, 12_s + 1_ms, always);
    const auto journal = consumeJournal(table);
    BOOST_REQUIRE(journal.size() == 1U);
    BOOST_TEST((journal[0].kind == UpstreamChangeKind::Observation && journal[0].observer == self));
    UpstreamTable other = makeTable(peer);
    upsertRecord(other, 0_s, { runner(4), 4, {}, { { self, 4, true } } });
    BOOST_TEST((applyNotice(other, 13_s, noticeOf(*findUpstream(table, id), 13_s, self)) == UpsertResult::Changed));
    BOOST_TEST(!acceptsWork(other, 13_s));
}

// Guards against new nodes that know no upstream after the loss of all power, and against a restored record that changes what
// the receiver knows itself.
BOOST_AUTO_TEST_CASE(restoredRecordIsUsedOnlyWhereTheUpstreamIsUnknown)
{
    UpstreamTable restarted = makeTable(peer);
    restoreUpstream(restarted, 10_s, runner(5), false);
    const auto record = restoredRecordOf(*findUpstream(restarted, id), 10_s, peer);
    UpstreamTable table = makeTable();
    BOOST_TEST((upsertRecord(table, 10_s, record) == UpsertResult::Added));
    BOOST_TEST(acceptsWork(table, 12_s));
    BOOST_TEST(!isObserved(table, *findUpstream(table, id), always));
    const auto second = restoredRecordOf(*findUpstream(restarted, id), 11_s, NodeId { 3 });
    BOOST_TEST((upsertRecord(table, 11_s, second) == UpsertResult::Stale));
    BOOST_TEST(acceptsWork(table, 12_s));
    BOOST_TEST(!acceptsWork(table, 12_s + 1_ms));
    upsertRecord(table, 12_s, { runner(6), 5, {}, { { peer, 4, true } } });
    BOOST_TEST((upsertRecord(table, 12_s, record) == UpsertResult::Stale));
    BOOST_TEST(acceptsWork(table, 15_s));
}
