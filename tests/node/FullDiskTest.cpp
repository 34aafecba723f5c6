#include "EntryFleet.h"

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(FullDisk)

// Guards against voters that stop for good when their disks have been full for some seconds: once that has happened to half of them,
// one after the other, nothing is committed any more.
BOOST_AUTO_TEST_CASE(VotersGoOnAfterTheirDisksWereFull)
{
    EntryFleet it(4, 3, 2);
    const std::string rules = "backend hire-desk # Asma: bookings\n";
    uint64_t number = 0;
    for (size_t n = 0; n < it.controls; ++n) {
        it.fleet.nodes[n].disk->setFreeBytes(100);
        // A voter writes only when there is something to store.
        it.configure(++number, rules);
        it.fleet.runFor(3_s);
        it.fleet.nodes[n].disk->setFreeBytes(SIZE_MAX);
        it.fleet.runFor(3_s);
    }
    it.configure(++number, rules);
    for (size_t n = 0; n < it.controls; ++n) {
        for (const auto& [id, group] : it.fleet.nodes[n].node->groups)
            BOOST_TEST(status(*group.replica).failure == "");
    }
}

// Guards against entries that a voter acknowledges while its disk is full, or loses when it restarts after that.
BOOST_AUTO_TEST_CASE(NothingIsLostWhenVotersLosePowerAfterTheirDisksWereFull)
{
    EntryFleet it(4, 3, 2);
    const std::string rules = "backend hire-desk # Asma: bookings\n";
    for (size_t n = 1; n < it.controls; ++n)
        it.fleet.nodes[n].disk->setFreeBytes(n * 37);
    const auto blocked = it.fleet.putConfiguration(0, 1, rules);
    it.fleet.runFor(2_s);
    BOOST_TEST(it.fleet.caller(blocked).status != 200);
    for (size_t n = 1; n < it.controls; ++n)
        it.fleet.nodes[n].disk->setFreeBytes(SIZE_MAX);
    it.fleet.runFor(3_s);
    it.configure(2, rules);
    for (size_t n = 0; n < it.controls; ++n)
        it.fleet.kill(n, true);
    for (size_t n = 0; n < it.controls; ++n)
        it.fleet.start(n);
    it.fleet.runFor(5_s);
    it.configure(3, rules);
    for (const auto& text : it.fleet.violations)
        BOOST_ERROR(text);
}

BOOST_AUTO_TEST_SUITE_END()

}
