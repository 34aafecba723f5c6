#include "base/Error.h"
#include "base/Hash.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static Result<int> failing()
{
    return fail(ErrorCode::Timeout, Step::Connect, "127.0.0.1:80", "no answer within 100 ms");
}

// Guards against errors that lose their step or peer while they propagate to the caller.
BOOST_AUTO_TEST_CASE(errorKeepsStepAndPeer)
{
    const std::string text = handle(
        []() -> Result<std::string> {
            BOOST_LEAF_AUTO(n, failing());
            return std::to_string(n);
        },
        [](const Error& error) { return toString(error); });
    BOOST_TEST(text == "connect 127.0.0.1:80: no answer within 100 ms");
}

// Guards against a wrong SHA-256 implementation, which would reject every caller; uses the published test vector.
BOOST_AUTO_TEST_CASE(sha256MatchesTestVector)
{
    BOOST_TEST(sha256Hex("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}
