#include "storage/Storage.h"
#include "base/Hash.h"
#include "storage/FakeDisk.h"
#include "storage/FileDisk.h"
#include "storage/SnapshotFile.h"

#include <boost/test/unit_test.hpp>
#include <cereal/archives/portable_binary.hpp>
#include <filesystem>
#include <sstream>
#include <unistd.h>

using namespace siskinshunt;

static constexpr GroupId group { 2 };

static DiskRequest entriesFrom(uint64_t index, size_t n, uint64_t term)
{
    DiskRequest request { .group = group, .hardState = HardState { term, VoterId { 9 } } };
    for (size_t k = 0; k < n; ++k)
        request.entries.push_back({ .index = index + k, .term = term, .kind = EntryKind::Command, .data = std::string(40, 'd') });
    return request;
}

static Snapshot snapshotAt(uint64_t index, uint64_t term)
{
    const SnapshotMeta meta { .index = index, .term = term, .members = { .voters = { VoterId { 9 } }, .learners = {} } };
    return { meta, std::make_shared<const std::string>("state at " + std::to_string(index)) };
}

/// Opens the storage, writes the requests one by one, and returns the first error or an empty string.
static std::string writeAll(Disk& disk, const std::vector<DiskRequest>& requests, const StorageOptions& options = {})
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(storage, Storage::open(disk, options));
            for (const auto& it : requests)
                BOOST_LEAF_CHECK(storage->write({ &it, 1 }));
            return std::string();
        },
        [](const Error& error) { return toString(error); });
}

struct Reopened {
    std::string error;
    GroupState state;
    std::vector<LogRecord> log;
};

static Reopened reopen(Disk& disk, const StorageOptions& options = {})
{
    return handle(
        [&]() -> Result<Reopened> {
            BOOST_LEAF_AUTO(storage, Storage::open(disk, options));
            return Reopened { {}, storage->takeRecovered()[group], storage->log() };
        },
        [](const Error& error) { return Reopened { toString(error), {}, {} }; });
}

static std::string lastSegment(Disk& disk)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(names, disk.list());
            std::string last;
            for (const auto& name : names)
                last = name.starts_with("log-") ? name : last;
            return last;
        },
        [](const Error&) { return std::string(); });
}

// Guards against an incomplete last write that prevents recovery, or that is not truncated and counts as corruption once
// later batches follow it.
BOOST_AUTO_TEST_CASE(tornTailIsCutAndReported)
{
    for (size_t kept : { 1, 31, 32, 60, 100 }) {
        FakeDisk disk;
        auto storage = std::move(Storage::open(disk, {}).value());
        const auto first = entriesFrom(1, 3, 1);
        const auto second = entriesFrom(4, 3, 1);
        BOOST_TEST(!!storage->write({ &first, 1 }));
        disk.setFreeBytes(kept);
        BOOST_TEST(!storage->write({ &second, 1 }));
        disk.setFreeBytes(SIZE_MAX);
        const Reopened torn = reopen(disk);
        BOOST_TEST(torn.error == "");
        BOOST_TEST(torn.state.entries.size() == 3);
        BOOST_REQUIRE(torn.log.size() == 1);
        BOOST_TEST(torn.log[0].code == "torn_tail_cut");
        BOOST_TEST(writeAll(disk, { entriesFrom(4, 2, 1) }) == "");
        BOOST_TEST(reopen(disk).state.entries.size() == 5);
    }
}

// Guards against treating trailing blocks of zeros as corruption. A file system leaves them if the file size became durable
// before the data.
BOOST_AUTO_TEST_CASE(zeroedTailIsCutAndReported)
{
    FakeDisk disk;
    BOOST_TEST(writeAll(disk, { entriesFrom(1, 3, 1) }) == "");
    BOOST_TEST(!!disk.append(lastSegment(disk), std::string(700, '\0')));
    const Reopened cut = reopen(disk);
    BOOST_TEST(cut.error == "");
    BOOST_TEST(cut.state.entries.size() == 3);
    BOOST_REQUIRE(cut.log.size() == 1);
    BOOST_TEST(cut.log[0].code == "torn_tail_cut");
}

// Guards against treating corruption of synced data as a torn tail, which would lose acknowledged entries.
BOOST_AUTO_TEST_CASE(everyDamagedByteStopsTheVoter)
{
    FakeDisk disk;
    BOOST_TEST(writeAll(disk, { entriesFrom(1, 2, 1), entriesFrom(3, 2, 1), entriesFrom(5, 1, 2) }) == "");
    const std::string name = lastSegment(disk);
    for (size_t offset = 0; offset < disk.size(name); ++offset) {
        disk.corrupt(name, offset);
        const std::string error = reopen(disk).error;
        BOOST_TEST(error.find("recover " + name + ": the log is damaged at byte ") == 0, "offset " << offset << ": " << error);
        disk.corrupt(name, offset);
    }
    BOOST_TEST(reopen(disk).state.entries.size() == 5);
}

// Guards against a voter that keeps writing after a failed write, when the content of the disk is unknown.
BOOST_AUTO_TEST_CASE(failedWriteStopsAllFurtherWrites)
{
    for (bool full : { true, false }) {
        FakeDisk disk;
        auto storage = std::move(Storage::open(disk, {}).value());
        const auto first = entriesFrom(1, 3, 1);
        BOOST_TEST(!!storage->write({ &first, 1 }));
        if (full)
            disk.setFreeBytes(10);
        else
            disk.failSyncAfter(1);
        const auto second = entriesFrom(4, 3, 1);
        BOOST_TEST(!storage->write({ &second, 1 }));
        disk.setFreeBytes(SIZE_MAX);
        BOOST_TEST(!storage->write({ &second, 1 }));
        disk.crashDiscardingUnsynced();
        BOOST_TEST(reopen(disk).state.entries.size() == 3);
    }
}

// Guards against overwritten entries of a deposed leader that reappear after a restart.
BOOST_AUTO_TEST_CASE(conflictingSuffixIsReplaced)
{
    FakeDisk disk;
    BOOST_TEST(writeAll(disk, { entriesFrom(1, 6, 1), entriesFrom(4, 1, 2) }) == "");
    const auto state = reopen(disk).state;
    BOOST_REQUIRE(state.entries.size() == 4);
    BOOST_TEST(state.entries[2].term == 1);
    BOOST_TEST(state.entries[3].term == 2);
    BOOST_TEST(state.hardState.term == 2);
}

// Guards against segments that are never removed, and against losing the hard state with a removed segment.
BOOST_AUTO_TEST_CASE(segmentsBelowTheSnapshotAreDropped)
{
    FakeDisk disk;
    std::vector<DiskRequest> requests;
    for (uint64_t n = 0; n < 50; ++n) {
        requests.push_back(entriesFrom(1 + n * 4, 4, 3));
        if (n)
            requests.back().hardState.reset();
    }
    DiskRequest snapshot { .group = group, .snapshot = snapshotAt(198, 3) };
    requests.push_back(snapshot);
    const StorageOptions smallSegments { .segmentBytes = 1000 };
    BOOST_TEST(writeAll(disk, requests, smallSegments) == "");
    BOOST_TEST(disk.list().value().size() <= 4U);
    const auto state = reopen(disk, smallSegments).state;
    BOOST_TEST(state.hardState.term == 3);
    BOOST_TEST(*state.snapshot.bytes == "state at 198");
    BOOST_REQUIRE(state.entries.size() == 2);
    BOOST_TEST(state.entries[0].index == 199);
}

// Guards against an idle group whose few entries prevent removal of the busy groups' segments without being reported.
BOOST_AUTO_TEST_CASE(pinningGroupIsNamed)
{
    FakeDisk disk;
    auto storage = std::move(Storage::open(disk, { .segmentBytes = 200, .maxSegments = 3 }).value());
    DiskRequest idle = entriesFrom(1, 1, 1);
    idle.group = { 5 };
    BOOST_TEST(!!storage->write({ &idle, 1 }));
    std::vector<GroupId> pinning;
    for (uint64_t n = 0; n < 10; ++n) {
        DiskRequest busy = entriesFrom(1 + n * 4, 4, 1);
        busy.snapshot = snapshotAt(4 + n * 4, 1);
        pinning = storage->write({ &busy, 1 }).value().pinning;
    }
    BOOST_REQUIRE(pinning.size() == 1);
    BOOST_TEST(pinning[0].value == 5);
}

// Guards against a crash during a snapshot installation or a segment change that leaves an unreadable folder, or a state
// that is neither the previous nor the next one.
BOOST_AUTO_TEST_CASE(crashAtAnySyncKeepsADurablePrefix)
{
    const StorageOptions smallSegments { .segmentBytes = 300 };
    std::vector<DiskRequest> requests { entriesFrom(1, 6, 1), entriesFrom(7, 2, 1), entriesFrom(7, 2, 2) };
    DiskRequest install = entriesFrom(21, 2, 4);
    install.snapshot = snapshotAt(20, 4);
    install.discardLog = true;
    requests.push_back(install);
    requests.push_back(entriesFrom(23, 3, 4));
    const std::vector<uint64_t> lastAfter { 0, 6, 8, 8, 22, 25 };
    for (int failing = 1; failing < 30; ++failing) {
        FakeDisk disk;
        Random random(static_cast<uint64_t>(failing));
        disk.failSyncAfter(failing);
        size_t written = 0;
        for (auto storage = std::move(Storage::open(disk, smallSegments).value()); written < requests.size(); ++written) {
            if (!storage->write({ &requests[written], 1 }))
                break;
        }
        disk.failSyncAfter(0);
        disk.crash(random);
        const Reopened after = reopen(disk, smallSegments);
        BOOST_TEST(after.error == "", "sync " << failing << ": " << after.error);
        const auto& entries = after.state.entries;
        const uint64_t last = entries.empty() ? after.state.snapshot.meta.index : entries.back().index;
        BOOST_TEST(last >= (written == 3 ? 8 : lastAfter[written]), "sync " << failing);
        // Writing after the restart has to leave a readable folder.
        BOOST_TEST(writeAll(disk, { entriesFrom(last + 1, 1, 5) }, smallSegments) == "");
        BOOST_TEST(reopen(disk, smallSegments).error == "");
    }
}

// Guards against using a snapshot that was copied from another cluster.
BOOST_AUTO_TEST_CASE(snapshotOfAnotherClusterIsRefused)
{
    FakeDisk disk;
    const DiskRequest request { .group = group, .snapshot = snapshotAt(5, 1) };
    BOOST_TEST(writeAll(disk, { request }, { .cluster = 1 }) == "");
    BOOST_TEST(reopen(disk, { .cluster = 2 }).error == "recover snapshot-2-5: the snapshot belongs to another cluster");
}

// Guards against restoring a damaged snapshot.
BOOST_AUTO_TEST_CASE(damagedSnapshotStopsTheVoter)
{
    FakeDisk disk;
    const DiskRequest request { .group = group, .snapshot = snapshotAt(5, 1) };
    BOOST_TEST(writeAll(disk, { request }) == "");
    disk.corrupt("snapshot-2-5", disk.size("snapshot-2-5") / 2);
    BOOST_TEST(reopen(disk).error == "recover snapshot-2-5: the snapshot is damaged; this voter must be replaced");
}

// Guards against differences between FileDisk and FakeDisk.
BOOST_AUTO_TEST_CASE(fileDiskKeepsWhatWasWritten)
{
    const auto path = std::filesystem::temp_directory_path() / ("siskinshunt-storage-test-" + std::to_string(::getpid()));
    std::filesystem::remove_all(path);
    {
        auto disk = std::move(FileDisk::open(path).value());
        DiskRequest snapshot = entriesFrom(4, 2, 1);
        snapshot.snapshot = snapshotAt(3, 1);
        BOOST_TEST(writeAll(*disk, { entriesFrom(1, 3, 1), snapshot }) == "");
        BOOST_TEST(!!disk->append(lastSegment(*disk), "torn"));
    }
    auto disk = std::move(FileDisk::open(path).value());
    const Reopened after = reopen(*disk);
    BOOST_TEST(after.error == "");
    BOOST_TEST(after.log.size() == 1);
    BOOST_TEST(after.state.snapshot.meta.index == 3);
    BOOST_TEST(after.state.entries.size() == 2);
    std::filesystem::remove_all(path);
}

// Guards against allocating memory for the length claimed by a small damaged snapshot. Found by fuzzing: this content
// claims 922,746,881 bytes.
BOOST_AUTO_TEST_CASE(claimedLengthOfASnapshotIsNotAllocated)
{
    static constexpr std::string_view hex = "68d21f5be5913c7a01000000000000003c0000000000000088699896410d3f31060102000000fff5000000000000000000370000000065";
    std::string bytes;
    for (size_t n = 0; n < hex.size(); n += 2)
        bytes.push_back(static_cast<char>(std::stoi(std::string(hex.substr(n, 2)), nullptr, 16)));
    const uint64_t checksum = hash64(bytes);
    for (int shift = 0; shift < 64; shift += 8)
        bytes.push_back(static_cast<char>(checksum >> shift));
    const bool accepted = handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(file, decodeSnapshotFile("s", bytes));
            return file.group.value != 0;
        },
        [](const Error& error) { return error.code != ErrorCode::Corrupt; });
    BOOST_TEST(!accepted);
    // Decoding a string that claims 512 MiB but contains three bytes has to fail without a large allocation.
    std::string value;
    std::istringstream stream(std::string("\x01\x00\x00\x00\x20"
                                          "abc",
        8));
    cereal::PortableBinaryInputArchive archive(stream);
    BOOST_CHECK_THROW(serializeBytes(archive, value, size_t { 1 } << 30), cereal::Exception);
    BOOST_TEST(value.capacity() < size_t { 1 } << 20);
}
