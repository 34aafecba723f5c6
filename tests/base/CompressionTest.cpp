#include "base/Compression.h"

#include <boost/test/unit_test.hpp>

namespace siskinshunt {

BOOST_AUTO_TEST_SUITE(Compression)

BOOST_AUTO_TEST_CASE(RestoresTheBytes)
{
    std::string text;
    for (int n = 0; n < 1000; ++n)
        text += "forward r-" + std::to_string(n) + " kind=stream\n";
    const std::string packed = compress(text);
    BOOST_CHECK(isCompressed(packed));
    BOOST_CHECK(!isCompressed(text));
    BOOST_CHECK_LT(packed.size(), text.size() / 4);
    BOOST_CHECK(decompress(packed, text.size()) == text);
    BOOST_CHECK(decompress(compress({}), 0) == std::string());
}

// Guards against bytes from another node that claim a size which this node cannot hold, or that are damaged.
BOOST_AUTO_TEST_CASE(RejectsLargeAndDamagedInput)
{
    const std::string text(100000, 'x');
    const std::string packed = compress(text);
    BOOST_CHECK(!decompress(packed, text.size() - 1));
    BOOST_CHECK(!decompress(packed.substr(0, packed.size() - 1), text.size()));
    BOOST_CHECK(!decompress(text, text.size()));
    BOOST_CHECK(!decompress({}, text.size()));
}

BOOST_AUTO_TEST_SUITE_END()

}
