#include "base/Histogram.h"
#include "base/Random.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <vector>

using namespace siskinshunt;

// Guards against off-by-one errors in bucket boundaries: a quantile must stay within 1/16 of the exact one.
BOOST_AUTO_TEST_CASE(quantileStaysWithinOneBucket)
{
    Random random(7);
    Histogram histogram;
    std::vector<uint64_t> values;
    for (int n = 0; n < 20000; ++n) {
        values.push_back(static_cast<uint64_t>(random.exponential(50000)));
        histogram.record(values.back());
    }
    std::sort(values.begin(), values.end());
    for (double q : { 0.01, 0.5, 0.95, 0.999 }) {
        const uint64_t exact = values[static_cast<size_t>(q * static_cast<double>(values.size()))];
        BOOST_TEST(histogram.quantile(q) >= exact * 15 / 16);
        BOOST_TEST(histogram.quantile(q) <= exact * 17 / 16 + 1);
    }
}

// Guards against merges that lose counts.
BOOST_AUTO_TEST_CASE(mergeEqualsRecordingBoth)
{
    Histogram a;
    Histogram b;
    Histogram both;
    for (uint64_t n = 0; n < 1000; ++n) {
        (n % 2 ? a : b).record(n * n);
        both.record(n * n);
    }
    a.merge(b);
    BOOST_TEST(a.count() == both.count());
    BOOST_TEST(a.sum() == both.sum());
    BOOST_TEST(a.quantile(0.9) == both.quantile(0.9));
}
