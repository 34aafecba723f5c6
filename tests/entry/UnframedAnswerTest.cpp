#include "EchoServer.h"
#include "OldCaller.h"
#include "entry/HttpConnection.h"

#include <boost/test/unit_test.hpp>
#include <sys/wait.h>

using namespace siskinshunt;
using namespace std::chrono_literals;
namespace asio = boost::asio;
using asio::ip::tcp;

// Guards against an answer that is given up and looks whole: it has neither chunks nor a length, so only a reset tells the caller. This is the
// answer that breaks at the upstream.
BOOST_AUTO_TEST_CASE(abortedAnswerWithoutALengthIsReset)
{
    EchoServer server;
    OldCaller caller(server.port(), "/abort");
    caller.read();
    BOOST_TEST(caller.ec == asio::error::connection_reset);
}

// Guards against a part that looks whole when the server ends.
BOOST_AUTO_TEST_CASE(answerWithoutALengthIsResetAtTheEndOfTheServer)
{
    EchoServer server;
    OldCaller caller(server.port(), "/part");
    caller.read("part");
    server.end();
    caller.read();
    BOOST_TEST(caller.hasPart());
    BOOST_TEST(caller.ec == asio::error::connection_reset);
}

// Guards against a part that looks whole when the process is gone, as after a crash or SIGKILL: the kernel closes its connections.
BOOST_AUTO_TEST_CASE(answerWithoutALengthIsResetAtTheEndOfTheProcess)
{
    std::array<int, 2> pipe {};
    BOOST_REQUIRE_EQUAL(::pipe(pipe.data()), 0);
    const pid_t child = ::fork();
    BOOST_REQUIRE_GE(child, 0);
    if (!child) {
        EchoServer server;
        const uint16_t port = server.port();
        if (::write(pipe[1], &port, sizeof(port)) != sizeof(port))
            ::_exit(1);
        std::this_thread::sleep_for(5s);
        ::_exit(1);
    }
    uint16_t port = 0;
    BOOST_REQUIRE_EQUAL(::read(pipe[0], &port, sizeof(port)), static_cast<ssize_t>(sizeof(port)));
    OldCaller caller(port, "/part-and-exit");
    caller.read();
    BOOST_TEST(caller.hasPart());
    BOOST_TEST(caller.ec == asio::error::connection_reset);
    int status = -1;
    ::waitpid(child, &status, 0);
    BOOST_TEST(status == 0);
    ::close(pipe[0]);
    ::close(pipe[1]);
}

// Guards against a part that looks whole to a caller that has shut down its sending side, for which the server gives the answer up.
BOOST_AUTO_TEST_CASE(answerWithoutALengthIsResetAfterAHalfClose)
{
    EchoServer server;
    OldCaller caller(server.port(), "/part");
    caller.read("part");
    caller.socket.shutdown(tcp::socket::shutdown_send);
    caller.read();
    BOOST_TEST(caller.ec == asio::error::connection_reset);
}

// Guards against a part that looks whole to a caller that reads too slowly.
BOOST_AUTO_TEST_CASE(answerWithoutALengthIsResetWhenTheCallerIsTooSlow)
{
    InputLimits limits;
    limits.bodyBytes = 1024;
    EchoServer server(limits);
    OldCaller caller(server.port(), "/part-and-flood");
    std::this_thread::sleep_for(200ms);
    caller.read();
    BOOST_TEST(caller.received.size() < largeBodyBytes);
    BOOST_TEST(caller.ec == asio::error::connection_reset);
}

// Guards against a part that looks whole when a write takes too long.
BOOST_AUTO_TEST_CASE(answerWithoutALengthIsResetAfterTheTimeoutOfAWrite)
{
    asio::io_context context;
    tcp::acceptor acceptor(context, { asio::ip::make_address("127.0.0.1"), 0 });
    OldCaller caller(acceptor.local_endpoint().port(), "/");
    HttpConnectionContext shared;
    shared.openExchange = [](HttpConnection&) { return ExchangeId { 1 }; };
    shared.closeExchange = [](ExchangeId) {};
    shared.disconnected = [](ExchangeId) {};
    shared.log = [](const LogRecord&) {};
    bool arrived = false;
    shared.arrived = [&](const RequestArrived&) { arrived = true; };
    const auto connection = std::make_shared<HttpConnection>(makePlainStream(acceptor.accept()), "peer", shared);
    connection->start();
    while (!arrived)
        context.run_one();
    connection->answer({ .exchange = 1, .part = AnswerPart::Head, .status = 200 });
    connection->answer({ .exchange = 1, .part = AnswerPart::Body, .body = std::string(largeBodyBytes, 'x') });
    context.poll();
    connection->checkTimeout(HttpConnection::Clock::now() + 60s);
    BOOST_TEST(connection->isClosed());
    caller.read();
    BOOST_TEST(caller.received.size() < largeBodyBytes);
    BOOST_TEST(caller.ec == asio::error::connection_reset);
}

// Guards against a reset that takes bytes of a whole answer from the caller.
BOOST_AUTO_TEST_CASE(wholeAnswerWithoutALengthEndsInOrder)
{
    EchoServer server;
    OldCaller caller(server.port(), "/stream");
    caller.read();
    BOOST_TEST(caller.received.ends_with("\r\n\r\nonetwo"));
    BOOST_TEST(caller.ec == asio::error::eof);
    OldCaller slow(server.port(), "/large-stream");
    std::this_thread::sleep_for(700ms);
    slow.read();
    BOOST_TEST(slow.received.size() > largeBodyBytes);
    BOOST_TEST(slow.ec == asio::error::eof);
}

// Guards against a whole answer that the end of the server takes back from a caller that has not read it yet.
BOOST_AUTO_TEST_CASE(writtenAnswerWithoutALengthOutlivesTheServer)
{
    EchoServer server;
    OldCaller caller(server.port(), "/stream");
    caller.awaitUnread("onetwo");
    server.end();
    caller.read();
    BOOST_TEST(caller.received.ends_with("\r\n\r\nonetwo"));
    BOOST_TEST(caller.ec == asio::error::eof);
}
