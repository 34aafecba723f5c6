#include "emulator/ForwardModel.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static double shareOf(size_t nodes, bool updates)
{
    ForwardModelOptions options = largeFleetOptions(nodes, updates);
    options.seed = 3;
    options.duration = 15_s;
    return runForwardModel(options).share();
}

// Pattern: clumps of long prompts at many entry nodes, each of which sends about one request a second and knows the load of the others
// from reports. Guards against herds: a fleet of 200 nodes has to serve nearly as well as one of 27 with the same engines.
BOOST_AUTO_TEST_CASE(ManyNodesServeNearlyAsWellAsFew)
{
    const double few = shareOf(27, true);
    const double many = shareOf(200, true);
    const double before = shareOf(200, false);
    BOOST_TEST_MESSAGE("27 nodes " << few << ", 200 nodes " << many << ", 200 nodes without updates " << before);
    BOOST_CHECK_GE(many, 0.97 * few);
    BOOST_CHECK_GT(many, before + 0.02);
}

// The same at the design size.
BOOST_AUTO_TEST_CASE(UpdatesHelpAtTheDesignSize)
{
    const double with = shareOf(400, true);
    const double before = shareOf(400, false);
    BOOST_TEST_MESSAGE("400 nodes " << with << ", without updates " << before);
    BOOST_CHECK_GT(with, before + 0.02);
}
