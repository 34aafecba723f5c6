#include "forward/LeavingNotices.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

// Guards against a notice that a node which asks in several steps never gets, or gets again and again.
BOOST_AUTO_TEST_CASE(noticesAreReadInStepsWithoutGapsOrRepeats)
{
    LeavingNotices notices;
    for (uint64_t n = 1; n <= 7; ++n)
        BOOST_TEST(recordNotice(notices, TimeMs { 0 }, { UpstreamId { 100 - n }, 1 }));
    BOOST_TEST(!recordNotice(notices, TimeMs { 5 }, { UpstreamId { 99 }, 1 }));
    std::vector<uint64_t> read;
    uint64_t number = 0;
    for (int step = 0; step < 3; ++step) {
        const auto range = noticesAfter(notices, number, 3);
        number = range.lastNumber;
        for (const auto& it : range.notices)
            read.push_back(it.upstream.value);
    }
    BOOST_TEST(read == (std::vector<uint64_t> { 99, 98, 97, 96, 95, 94, 93 }), boost::test_tools::per_element());
    BOOST_TEST(noticesAfter(notices, number, 3).notices.empty());
    BOOST_TEST(noticesAfter(notices, number, 3).lastNumber == number);
}

// Guards against a restarted upstream that is taken for its earlier incarnation, which was leaving, and against a later
// notice of the same upstream that is not passed on.
BOOST_AUTO_TEST_CASE(noticeAppliesToItsIncarnationAndEarlierOnes)
{
    LeavingNotices notices;
    recordNotice(notices, TimeMs { 0 }, { UpstreamId { 1 }, 5 });
    BOOST_TEST(isNoticeRecorded(notices, UpstreamId { 1 }, 4));
    BOOST_TEST(!isNoticeRecorded(notices, UpstreamId { 1 }, 6));
    const uint64_t number = notices.lastNumber;
    BOOST_TEST(recordNotice(notices, TimeMs { 0 }, { UpstreamId { 1 }, 6 }));
    BOOST_TEST(noticesAfter(notices, number, 10).notices.size() == 1U);
    expireNotices(notices, TimeMs { 11 }, TimeMs { 10 });
    BOOST_TEST(!isNoticeRecorded(notices, UpstreamId { 1 }, 4));
}
