#include "storage/RetryingStorage.h"
#include "storage/FakeDisk.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static constexpr GroupId group { 2 };

static DiskRequest entriesFrom(uint64_t index, size_t n)
{
    DiskRequest request { .group = group, .hardState = HardState { 1, VoterId { 9 } } };
    for (size_t k = 0; k < n; ++k)
        request.entries.push_back({ .index = index + k, .term = 1, .kind = EntryKind::Command, .data = std::string(40, 'd') });
    return request;
}

static WriteState writeOne(RetryingStorage& storage, const DiskRequest& request)
{
    return write(storage, { &request, 1 }).state;
}

static size_t entriesAfterPowerLoss(FakeDisk& disk)
{
    disk.crashDiscardingUnsynced();
    auto storage = std::move(Storage::open(disk, {}).value());
    return storage->takeRecovered()[group].entries.size();
}

// Guards against a voter that stays stopped once its disk has space again, and against an incomplete batch in the middle of the log,
// which would count as damage at the next restart.
BOOST_AUTO_TEST_CASE(goesOnOnceTheDiskHasSpace)
{
    for (size_t kept : { 0, 1, 31, 32, 60, 100, 5000 }) {
        FakeDisk disk;
        auto storage = std::move(openRetryingStorage(disk, {}).value());
        BOOST_TEST((writeOne(storage, entriesFrom(1, 3)) == WriteState::Written));
        disk.setFreeBytes(kept);
        const DiskRequest large = entriesFrom(4, 200);
        for (int n = 0; n < 3; ++n)
            BOOST_TEST((writeOne(storage, large) == WriteState::Full));
        disk.setFreeBytes(SIZE_MAX);
        BOOST_TEST((writeOne(storage, large) == WriteState::Written));
        BOOST_TEST((writeOne(storage, entriesFrom(204, 2)) == WriteState::Written));
        BOOST_TEST(entriesAfterPowerLoss(disk) == 205U);
    }
}

// Guards against a snapshot for which there is no space and that replaces the stored one all the same.
BOOST_AUTO_TEST_CASE(snapshotIsWrittenOnceTheDiskHasSpace)
{
    FakeDisk disk;
    auto storage = std::move(openRetryingStorage(disk, {}).value());
    BOOST_TEST((writeOne(storage, entriesFrom(1, 5)) == WriteState::Written));
    DiskRequest request { .group = group };
    request.snapshot = Snapshot { .meta = { .index = 4, .term = 1, .members = { .voters = { VoterId { 9 } }, .learners = {} } }, .bytes = std::make_shared<const std::string>(3000, 's') };
    disk.setFreeBytes(1000);
    BOOST_TEST((writeOne(storage, request) == WriteState::Full));
    disk.setFreeBytes(SIZE_MAX);
    BOOST_TEST((writeOne(storage, request) == WriteState::Written));
    BOOST_TEST(entriesAfterPowerLoss(disk) == 1U);
}

// Guards against writes after a failed sync, when the content of the disk is unknown.
BOOST_AUTO_TEST_CASE(failedSyncIsFinal)
{
    FakeDisk disk;
    auto storage = std::move(openRetryingStorage(disk, {}).value());
    BOOST_TEST((writeOne(storage, entriesFrom(1, 3)) == WriteState::Written));
    disk.failSyncAfter(1);
    BOOST_TEST((writeOne(storage, entriesFrom(4, 3)) == WriteState::Failed));
    BOOST_TEST((writeOne(storage, entriesFrom(4, 3)) == WriteState::Failed));
    BOOST_TEST(entriesAfterPowerLoss(disk) == 3U);
}
