#include "DispatchClient.h"
#include "ScriptedUpstream.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

// What a client reports of these bytes of an upstream, which keeps the connection open.
static std::string receive(const std::string& bytes)
{
    ScriptedUpstream upstream({ { { bytes } } });
    DispatchClient client;
    return client.sendRequest(upstream.address(), "a", TimeMs { 1000 });
}

static std::string statusLine(const std::string& status)
{
    return "HTTP/1.1 " + status + " Text\r\nId: a\r\n";
}

// Guards against a status that is none, which callers got as an answer, and against taking it for an interim response: what follows it was read as
// the answer.
BOOST_AUTO_TEST_CASE(unknownStatusIsMalformed)
{
    const std::string inner = makeResponse("a", "inner");
    for (const char* status : { "000", "001", "099", "600", "999" }) {
        BOOST_TEST(receive(statusLine(status) + "Content-Length: 4\r\n\r\nbody") == " malformed", status);
        BOOST_TEST(receive(statusLine(status) + "Content-Length: 0\r\n\r\n") == " malformed", status);
        BOOST_TEST(receive(statusLine(status) + "\r\n" + inner) == " malformed", status);
        BOOST_TEST(receive(statusLine(status) + "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner) == " malformed", status);
    }
}

// Guards against reading what follows a switch of the protocol, for which no request asks, as the answer.
BOOST_AUTO_TEST_CASE(switchOfTheProtocolIsMalformed)
{
    BOOST_TEST(receive(statusLine("101") + "\r\n" + makeResponse("a", "inner")) == " malformed");
    BOOST_TEST(receive(statusLine("101") + "Connection: Upgrade\r\nUpgrade: other\r\n\r\nbytes") == " malformed");
}

// Guards against a final response that is lost behind interim ones. A client has to read those that it does not know (RFC 9110, 15.2).
BOOST_AUTO_TEST_CASE(interimResponsesAreSkipped)
{
    for (const char* status : { "100", "102", "103", "104", "199" })
        BOOST_TEST(receive(statusLine(status) + "\r\n" + statusLine("100") + "Content-Length: 0\r\n\r\n" + makeResponse("a", "final")) == "200 final end", status);
}

// Guards against a body of an interim response that is read as the answer.
BOOST_AUTO_TEST_CASE(interimResponseWithABodyIsMalformed)
{
    const std::string inner = makeResponse("a", "inner");
    for (const char* status : { "100", "103", "199" }) {
        BOOST_TEST(receive(statusLine(status) + "Content-Length: " + std::to_string(inner.size()) + "\r\n\r\n" + inner) == " malformed", status);
        BOOST_TEST(receive(statusLine(status) + "Transfer-Encoding: chunked\r\n\r\n" + inner) == " malformed", status);
    }
}

// Guards against sound answers with a status that is rarely used.
BOOST_AUTO_TEST_CASE(everyFinalStatusIsAnAnswer)
{
    for (const char* status : { "200", "299", "307", "418", "499", "599" })
        BOOST_TEST(receive(statusLine(status) + "Content-Length: 1\r\n\r\nx") == status + std::string(" x end"));
    for (const char* status : { "204", "304" })
        BOOST_TEST(receive(statusLine(status) + "\r\n") == status + std::string("  end"));
}
