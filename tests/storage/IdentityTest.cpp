#include "storage/Identity.h"
#include "storage/FakeDisk.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static std::string open(FakeDisk& disk, const std::string& cluster, const std::string& node, uint64_t voter)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(it, openIdentity(disk, { cluster, node, { voter } }));
            return std::to_string(it.voter.value);
        },
        [](const Error& error) { return toString(error); });
}

// Guards against using a data folder that is mounted on the wrong node or was copied from another cluster.
BOOST_AUTO_TEST_CASE(otherNodeOrClusterIsRefusedWithBothNames)
{
    FakeDisk disk;
    BOOST_TEST(open(disk, "punjab", "lhr-1", 11) == "11");
    BOOST_TEST(open(disk, "punjab", "lhr-2", 12) == "recover identity: the data folder belongs to node lhr-1, the settings name node lhr-2");
    BOOST_TEST(open(disk, "ironveld", "lhr-1", 12)
        == "recover identity: the data folder belongs to cluster punjab, the settings name cluster ironveld");
    BOOST_TEST(open(disk, "punjab", "lhr-1", 12) == "11");
}

// Guards against a voter that keeps its identity after losing its log, and could vote twice in one term.
BOOST_AUTO_TEST_CASE(emptiedFolderGetsTheNewVoterId)
{
    FakeDisk disk;
    BOOST_TEST(open(disk, "punjab", "lhr-1", 11) == "11");
    BOOST_TEST(!!disk.remove("identity"));
    BOOST_TEST(open(disk, "punjab", "lhr-1", 12) == "12");
}

// Guards against creating a new identity for an existing log, and against accepting a damaged identity file.
BOOST_AUTO_TEST_CASE(missingOrDamagedIdentityIsRefused)
{
    FakeDisk disk;
    BOOST_TEST(open(disk, "punjab", "lhr-1", 11) == "11");
    disk.corrupt("identity", 40);
    BOOST_TEST(open(disk, "punjab", "lhr-1", 11) == "recover identity: the identity file is damaged; replace this voter");
    BOOST_TEST(!!disk.remove("identity"));
    BOOST_TEST(!!disk.append("log-000000000001", "x"));
    BOOST_TEST(open(disk, "punjab", "lhr-1", 12)
        == "recover identity: the data folder holds log files but no identity file; restore the file or empty the folder");
}

// Guards against a partly written identity file after a crash during its creation.
BOOST_AUTO_TEST_CASE(crashDuringCreationLeavesNoIdentity)
{
    FakeDisk disk;
    disk.failSyncAfter(1);
    BOOST_TEST(open(disk, "punjab", "lhr-1", 11) != "11");
    disk.crashDiscardingUnsynced();
    BOOST_TEST(open(disk, "punjab", "lhr-1", 12) == "12");
}
