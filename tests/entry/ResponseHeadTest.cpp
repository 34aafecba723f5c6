#include "DispatchClient.h"
#include "ScriptedUpstream.h"

#include <boost/test/unit_test.hpp>
#include <vector>

using namespace siskinshunt;

// What a client reports of these bytes of an upstream, which keeps the connection open.
static std::string receive(const std::string& bytes)
{
    ScriptedUpstream upstream({ { { bytes } } });
    DispatchClient client;
    return client.sendRequest(upstream.address(), "a", TimeMs { 5000 });
}

static std::string statusLine(const std::string& status)
{
    return "HTTP/1.1 " + status + " Text\r\nId: a\r\n";
}

// Guards against an invalid status that callers get as an answer, or that is taken for an interim response, so that what follows it is read as the
// answer.
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

namespace {

struct HeadCase {
    const char* name;
    std::string bytes; ///< Of the whole response.
    std::string reported; ///< By the client.
};

}

static std::string responseWith(const std::string& fields, const std::string& body = "ok")
{
    return "HTTP/1.1 200 OK\r\nId: a\r\n" + fields + "\r\n" + body;
}

static std::string chunkedResponse(const std::string& body)
{
    return responseWith("Transfer-Encoding: chunked\r\n", body);
}

// Guards against an answer whose head two parsers read differently: a line passed on to the caller, or a body that is not the upstream's.
BOOST_AUTO_TEST_CASE(malformedHeadsAreRejected)
{
    const std::string length = "Content-Length: 2\r\n";
    const std::vector<HeadCase> cases {
        { "blank in a name", responseWith("X Y: 1\r\n" + length), " malformed" },
        { "tab in a name", responseWith("X\tY: 1\r\n" + length), " malformed" },
        { "control byte in a name", responseWith("X\x01Y: 1\r\n" + length), " malformed" },
        { "NUL in a name", responseWith(std::string("X\0Y: 1\r\n", 8) + length), " malformed" },
        { "DEL in a name", responseWith("X\x7fY: 1\r\n" + length), " malformed" },
        { "byte over 127 in a name", responseWith("X\xe9Y: 1\r\n" + length), " malformed" },
        { "separator in a name", responseWith("X(Y): 1\r\n" + length), " malformed" },
        { "blank before the colon", responseWith("X : 1\r\n" + length), " malformed" },
        { "tab before the colon", responseWith("Content-Length\t: 2\r\n"), " malformed" },
        { "no name", responseWith(": 1\r\n" + length), " malformed" },
        { "no colon", responseWith("X\r\n" + length), " malformed" },
        { "blank before the first name", "HTTP/1.1 200 OK\r\n X: 1\r\nId: a\r\n" + length + "\r\nok", " malformed" },
        { "control byte in a value", responseWith("X: a\x01z\r\n" + length), " malformed" },
        { "NUL in a value", responseWith(std::string("X: a\0z\r\n", 8) + length), " malformed" },
        { "DEL in a value", responseWith("X: a\x7fz\r\n" + length), " malformed" },
        { "CR in a value", responseWith("X: a\rz\r\n" + length), " malformed" },
        { "LF alone after a field", responseWith("X: 1\n" + length), " malformed" },
        { "LF alone after the status line", "HTTP/1.1 200 OK\nId: a\r\n" + length + "\r\nok", " malformed" },
        { "LF alone as the end of the head", "HTTP/1.1 200 OK\nId: a\n\nok", " malformed" },
        { "control byte in the reason", "HTTP/1.1 200 O\x01K\r\nId: a\r\n" + length + "\r\nok", " malformed" },
        { "status of two digits", "HTTP/1.1 20 OK\r\nId: a\r\n" + length + "\r\nok", " malformed" },
        { "status of four digits", "HTTP/1.1 2000 OK\r\nId: a\r\n" + length + "\r\nok", " malformed" },
        { "status with a sign", "HTTP/1.1 +20 OK\r\nId: a\r\n" + length + "\r\nok", " malformed" },
        { "unknown version", "HTTP/2.0 200 OK\r\nId: a\r\n" + length + "\r\nok", " malformed" },
        { "blank before the status line", " HTTP/1.1 200 OK\r\nId: a\r\n" + length + "\r\nok", " malformed" },
        { "two lengths", responseWith(length + "Content-Length: 3\r\n"), " malformed" },
        { "two lengths in one field", responseWith("Content-Length: 2, 3\r\n"), " malformed" },
        { "length with a sign", responseWith("Content-Length: +2\r\n"), " malformed" },
        { "negative length", responseWith("Content-Length: -2\r\n"), " malformed" },
        { "empty length", responseWith("Content-Length: \r\n"), " malformed" },
        { "length in hexadecimal", responseWith("Content-Length: 0x2\r\n"), " malformed" },
        { "length over 64 bits", responseWith("Content-Length: 18446744073709551618\r\n"), " malformed" },
        { "length, then chunks", responseWith(length + "Transfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), " malformed" },
        { "chunks, then length", responseWith("Transfer-Encoding: chunked\r\n" + length, "2\r\nok\r\n0\r\n\r\n"), " malformed" },
        { "chunks stated twice", responseWith("Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n", "2\r\nok\r\n0\r\n\r\n"), " malformed" },
        { "size of a chunk that is no number", chunkedResponse("x\r\nok\r\n0\r\n\r\n"), "200  malformed" },
        { "size of a chunk with a sign", chunkedResponse("+2\r\nok\r\n0\r\n\r\n"), "200  malformed" },
        { "chunk longer than its size", chunkedResponse("1\r\nok\r\n0\r\n\r\n"), "200 o malformed" },
        { "bad field after the last chunk", chunkedResponse("2\r\nok\r\n0\r\nX Y: 1\r\n\r\n"), "200 ok malformed" },
        { "sound answer with a length", responseWith(length), "200 ok end" },
        { "sound answer in chunks", chunkedResponse("1;x=y\r\no\r\n1\r\nk\r\n0\r\nX: 1\r\n\r\n"), "200 ok end" },
        { "coding in capitals", responseWith("transfer-encoding:  Chunked \r\n", "2\r\nok\r\n0\r\n\r\n"), "200 ok end" },
        { "empty value, blanks, tab, bytes over 127", responseWith("X:\r\nY:  a b\tc \xe9\r\n" + length), "200 ok end" },
        { "no reason", "HTTP/1.1 200 \r\nId: a\r\n" + length + "\r\nok", "200 ok end" },
        { "HTTP/1.0", "HTTP/1.0 200 OK\r\nId: a\r\n" + length + "\r\nok", "200 ok end" },
        // Forms that requests must not have. A recipient of a response may read them (RFC 9110, 8.6; RFC 9112, 5.2).
        { "one length stated twice", responseWith(length + length), "200 ok end" },
        { "one length stated twice in one field", responseWith("Content-Length: 2, 2\r\n"), "200 ok end" },
        { "folded value", responseWith("X: a\r\n b\r\n" + length), "200 ok end" },
    };
    for (const auto& it : cases)
        BOOST_TEST(receive(it.bytes) == it.reported, it.name << ": " << receive(it.bytes));
}

// Guards against a cut answer that is taken for the whole, and against a whole one without a length that is taken for a cut one.
BOOST_AUTO_TEST_CASE(cutAnswersAreClosed)
{
    const auto receiveAndClose = [](const std::string& bytes) {
        ScriptedUpstream upstream({ { .responses = { bytes }, .closes = true } });
        DispatchClient client;
        return client.sendRequest(upstream.address(), "a", TimeMs { 5000 });
    };
    BOOST_TEST(receiveAndClose("HTTP/1.1 200 OK\r\nId: a\r\n") == " closed");
    BOOST_TEST(receiveAndClose(responseWith("Content-Length: 3\r\n")) == "200 ok closed");
    BOOST_TEST(receiveAndClose(chunkedResponse("3\r\nok")) == "200 ok closed");
    BOOST_TEST(receiveAndClose(chunkedResponse("2\r\nok\r\n")) == "200 ok closed");
    BOOST_TEST(receiveAndClose(chunkedResponse("2\r\nok\r\n0\r\n")) == "200 ok closed");
    BOOST_TEST(receiveAndClose(responseWith({})) == "200 ok end");
    BOOST_TEST(receiveAndClose("HTTP/1.0 200 OK\r\nId: a\r\n\r\nok") == "200 ok end");
}

// Guards against the bytes of a transfer coding that callers get as the body. No request allows another coding than chunks (RFC 9112, 6.1).
BOOST_AUTO_TEST_CASE(unknownTransferCodingIsMalformed)
{
    const std::string chunk = "2\r\nok\r\n0\r\n\r\n";
    for (const char* coding : { "gzip", "GZIP", "deflate", "xchunked", "identity", "\"chunked\"", "gzip, chunked", "chunked, gzip", "chunked, chunked", "chunked;x=y", "" }) {
        const std::string field = "Transfer-Encoding: " + std::string(coding) + "\r\n";
        for (const std::string& body : { std::string("ok"), chunk })
            BOOST_TEST(receive(responseWith(field, body)) == " malformed", coding);
        BOOST_TEST(receive(responseWith(field + "Content-Length: 2\r\n")) == " malformed", coding);
        BOOST_TEST(receive(responseWith("Content-Length: 2\r\n" + field)) == " malformed", coding);
    }
    BOOST_TEST(receive(responseWith("Transfer-Encoding: gzip\r\nTransfer-Encoding: chunked\r\n", chunk)) == " malformed");
    BOOST_TEST(receive(responseWith("Transfer-Encoding: chunked\r\nTransfer-Encoding: gzip\r\n", chunk)) == " malformed");
}
