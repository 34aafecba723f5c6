#include "entry/UpstreamClient.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>
#include <thread>

using namespace siskinshunt;
namespace asio = boost::asio;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// An upstream that plays a script: for each connection, the bytes that answer each request that arrives on it.
class ScriptedUpstream {
public:
    struct Play {
        std::vector<std::string> answers;
        bool closes = false; ///< After the last answer.
        bool resets = false;
    };

    explicit ScriptedUpstream(std::vector<Play> plays)
        : m_acceptor(m_context, { asio::ip::make_address("127.0.0.1"), 0 })
        , m_plays(std::move(plays))
        , m_thread([this] { run(); })
    {
    }

    ~ScriptedUpstream()
    {
        m_stopping = true;
        m_thread.join();
    }

    std::string address() const { return "127.0.0.1:" + std::to_string(m_acceptor.local_endpoint().port()); }

private:
    void run()
    {
        std::vector<tcp::socket> sockets;
        m_acceptor.non_blocking(true);
        for (const auto& play : m_plays) {
            tcp::socket socket(m_context);
            if (!wait([&](error_code& ec) { m_acceptor.accept(socket, ec); }))
                return;
            playOn(socket, play);
            if (play.resets)
                socket.set_option(asio::socket_base::linger(true, 0));
            if (!play.closes && !play.resets)
                sockets.push_back(std::move(socket));
        }
        while (!m_stopping)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }

    void playOn(tcp::socket& socket, const Play& play)
    {
        socket.non_blocking(true);
        for (const auto& answer : play.answers) {
            std::array<char, 65536> buf {};
            if (!wait([&](error_code& ec) { socket.read_some(asio::buffer(buf), ec); }))
                return;
            error_code ec;
            asio::write(socket, asio::buffer(answer), ec);
        }
    }

    template <class Operation>
    bool wait(Operation&& operation)
    {
        while (!m_stopping) {
            error_code ec;
            operation(ec);
            if (ec != asio::error::would_block && ec != asio::error::try_again)
                return !ec;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return false;
    }

    asio::io_context m_context;
    tcp::acceptor m_acceptor;
    std::vector<Play> m_plays;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

// Runs dispatches one after the other and writes down what is reported.
struct Client {
    std::string ask(const std::string& address, const std::string& id, TimeMs timeout = TimeMs { 2000 }, const std::string& body = "b")
    {
        std::string seen;
        report = [&](const UpstreamEvent& event) {
            if (event.kind == UpstreamEventKind::Head)
                seen += std::to_string(event.status) + " ";
            seen += event.bytes;
            if (event.kind == UpstreamEventKind::Failed)
                seen += " " + std::string(nameOf(event.failure));
            if (event.kind == UpstreamEventKind::End)
                seen += " end";
            done = event.kind == UpstreamEventKind::Failed || event.kind == UpstreamEventKind::End;
        };
        done = false;
        UpstreamDispatch dispatch { .dispatch = ++last, .address = address, .request = { "POST", "/x", { { "Host", "h" }, { "Id", id } }, body } };
        dispatch.firstByteTimeout = dispatch.progressTimeout = timeout;
        dispatch.idHeader = "Id";
        dispatch.idValue = id;
        client.dispatch(std::move(dispatch));
        // A context that ran out of work has stopped.
        context.restart();
        while (!done)
            context.run_one();
        context.poll();
        return seen;
    }

    asio::io_context context { 1 };
    std::function<void(const UpstreamEvent&)> report;
    UpstreamClient client { context, {}, [this](const UpstreamEvent& event) { report(event); } };
    DispatchId last = 0;
    bool done = false;
};

}

static std::string answerOf(const std::string& id, const std::string& body, const std::string& more = {})
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against an answer that reaches the wrong request: a late second answer stands where the next one is expected.
BOOST_AUTO_TEST_CASE(answerOfAnotherRequestIsSkipped)
{
    ScriptedUpstream upstream({ { { answerOf("other", "wrong") + answerOf("a", "right") } } });
    Client client;
    BOOST_TEST(client.ask(upstream.address(), "a") == "200 right end");
}

// Guards against a connection that is used again though bytes behind its answer belong to no request.
BOOST_AUTO_TEST_CASE(bytesBehindAnAnswerEndTheConnection)
{
    ScriptedUpstream upstream({ { { answerOf("a", "one") + "junk" } }, { { answerOf("b", "two"), answerOf("c", "three") } } });
    Client client;
    BOOST_TEST(client.ask(upstream.address(), "a") == "200 one end");
    BOOST_TEST(client.ask(upstream.address(), "b") == "200 two end");
    BOOST_TEST(client.ask(upstream.address(), "c") == "200 three end");
    BOOST_TEST(client.client.connectionsOpened() == 2U);
}

// Guards against a cut answer that counts as complete, and against a complete one without a length that does not.
BOOST_AUTO_TEST_CASE(endsOfAnswersAreTold)
{
    ScriptedUpstream upstream({ { { "HTTP/1.1 200 OK\r\nId: a\r\n\r\nwhole" }, true, false }, { { "HTTP/1.1 200 OK\r\nId: b\r\nContent-Length: 9\r\n\r\nhalf" }, true, false },
        { { "HTTP/1.1 200 OK\r\nId: c\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n" }, true, false }, { { "nonsense\r\n\r\n" }, true, false }, { { answerOf("e", "x", "Connection: close\r\n") }, true, false } });
    Client client;
    BOOST_TEST(client.ask(upstream.address(), "a") == "200 whole end");
    BOOST_TEST(client.ask(upstream.address(), "b") == "200 half closed");
    BOOST_TEST(client.ask(upstream.address(), "c") == "200 half closed");
    BOOST_TEST(client.ask(upstream.address(), "d") == " malformed");
    BOOST_TEST(client.ask(upstream.address(), "e") == "200 x end");
}

// Guards against requests that wait for ever on a connection that has gone silent.
BOOST_AUTO_TEST_CASE(silentUpstreamTimesOut)
{
    ScriptedUpstream upstream({ { { "" } } });
    Client client;
    BOOST_TEST(client.ask(upstream.address(), "a", TimeMs { 150 }) == " silent");
}

// Guards against an upstream that keeps reading a body after its early answer and gets another request's bytes instead.
BOOST_AUTO_TEST_CASE(earlyAnswerEndsTheConnection)
{
    ScriptedUpstream upstream({ { { answerOf("a", "early") } }, { { answerOf("b", "next") } } });
    Client client;
    BOOST_TEST(client.ask(upstream.address(), "a", TimeMs { 2000 }, std::string(32 << 20, 'x')) == "200 early end");
    BOOST_TEST(client.ask(upstream.address(), "b") == "200 next end");
    BOOST_TEST(client.client.connectionsOpened() == 2U);
}

// Guards against an idle connection that its upstream has closed and on which the next request is lost.
BOOST_AUTO_TEST_CASE(closedIdleConnectionIsNotUsed)
{
    ScriptedUpstream upstream({ { { answerOf("a", "one") }, true, false }, { { answerOf("b", "two") } } });
    Client client;
    BOOST_TEST(client.ask(upstream.address(), "a") == "200 one end");
    for (int n = 0; n < 50; ++n) {
        client.context.run_for(std::chrono::milliseconds(2));
        client.context.restart();
    }
    BOOST_TEST(client.ask(upstream.address(), "b") == "200 two end");
}
