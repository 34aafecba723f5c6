#pragma once

#include <array>
#include <atomic>
#include <boost/asio.hpp>
#include <string>
#include <thread>
#include <vector>

namespace siskinshunt {

/// Upstream that follows a script: for each connection, the bytes that it sends in reply to each request.
class ScriptedUpstream {
public:
    struct ConnectionScript {
        std::vector<std::string> responses;
        bool closes = false; ///< After the last response.
        bool resets = false; ///< After the last response.
        std::chrono::milliseconds pause { 0 }; ///< Before the unsolicited bytes and the end of the connection.
        std::string unsolicited; ///< Sent after the last response.
        bool finishes = false; ///< Ends the sending side in order after the last byte, before a close or reset.
        bool awaitsUnread = false; ///< Closes once bytes of the request are unread, which resets the connection.
    };

    explicit ScriptedUpstream(std::vector<ConnectionScript> scripts)
        : m_acceptor(m_context, { boost::asio::ip::make_address("127.0.0.1"), 0 })
        , m_scripts(std::move(scripts))
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
        std::vector<boost::asio::ip::tcp::socket> sockets;
        m_acceptor.non_blocking(true);
        for (const auto& script : m_scripts) {
            boost::asio::ip::tcp::socket socket(m_context);
            if (!wait([&](boost::system::error_code& ec) { m_acceptor.accept(socket, ec); }))
                return;
            // Otherwise a reset could discard bytes that wait for an acknowledgement.
            socket.set_option(boost::asio::ip::tcp::no_delay(true));
            runScript(socket, script);
            if (!script.closes && !script.resets) {
                sockets.push_back(std::move(socket));
                continue;
            }
            boost::system::error_code ec;
            if (script.awaitsUnread)
                wait([&](boost::system::error_code& waitError) { waitError = socket.available() ? boost::system::error_code {} : boost::asio::error::would_block; });
            if (script.resets)
                socket.set_option(boost::asio::socket_base::linger(true, 0), ec);
            // The destructor would ignore the option.
            socket.close(ec);
        }
        while (!m_stopping)
            std::this_thread::sleep_for(std::chrono::milliseconds(5));
    }

    void runScript(boost::asio::ip::tcp::socket& socket, const ConnectionScript& script)
    {
        socket.non_blocking(true);
        for (const auto& response : script.responses) {
            std::array<char, 65536> buf {};
            if (!wait([&](boost::system::error_code& ec) { socket.read_some(boost::asio::buffer(buf), ec); }))
                return;
            boost::system::error_code ec;
            boost::asio::write(socket, boost::asio::buffer(response), ec);
        }
        std::this_thread::sleep_for(script.pause);
        boost::system::error_code ec;
        boost::asio::write(socket, boost::asio::buffer(script.unsolicited), ec);
        if (script.finishes)
            socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ec);
    }

    template <class Operation>
    bool wait(Operation&& operation)
    {
        while (!m_stopping) {
            boost::system::error_code ec;
            operation(ec);
            if (ec != boost::asio::error::would_block && ec != boost::asio::error::try_again)
                return !ec;
            std::this_thread::sleep_for(std::chrono::milliseconds(2));
        }
        return false;
    }

    boost::asio::io_context m_context;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<ConnectionScript> m_scripts;
    std::atomic<bool> m_stopping { false };
    std::thread m_thread;
};

inline std::string makeResponse(const std::string& id, const std::string& body, const std::string& more = {})
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\n" + more + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

}
