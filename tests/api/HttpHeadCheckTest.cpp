#include "api/HttpHeadCheck.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static std::string headOf(const std::string& fields)
{
    return "POST /a/ HTTP/1.1\r\nHost: h\r\n" + fields + "\r\n";
}

// Guards against request smuggling by a body length that two parsers interpret differently.
BOOST_AUTO_TEST_CASE(ambiguousLengthsAreRejected)
{
    for (const char* fields : { "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n", "Content-Length: 3\r\nContent-Length: 3\r\n", "Content-Length: 3, 3\r\n",
             "Content-Length: +3\r\n", "Content-Length: \r\n", "Transfer-Encoding: xchunked\r\n", "Transfer-Encoding: chunked, identity\r\n",
             "Transfer-Encoding: identity\r\n", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" })
        BOOST_TEST(findHeadProblem(headOf(fields)).has_value(), fields);
}

// Guards against malformed lines that some parsers take for the end of a header or of the head.
BOOST_AUTO_TEST_CASE(malformedLinesAreRejected)
{
    for (const char* fields : { "A: 1\n", "A: 1\r\n b\r\n", "A : 1\r\n", " A: 1\r\n", "A\r\n", ": 1\r\n", "A: 1\rB: 2\r\n" })
        BOOST_TEST(findHeadProblem(headOf(fields)).has_value(), fields);
    BOOST_TEST(findHeadProblem(headOf(std::string("A: \0\r\n", 6))).has_value());
}

// Guards against rejecting request heads that clients commonly send.
BOOST_AUTO_TEST_CASE(commonHeadsAreAccepted)
{
    for (const char* fields : { "", "Content-Length: 3\r\n", "transfer-encoding:  Chunked \r\n", "A:\r\n", "A: b: c\r\n", "A: x\ty\r\n" })
        BOOST_TEST(!findHeadProblem(headOf(fields)).has_value(), fields);
}
