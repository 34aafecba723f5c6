#pragma once

#include <array>
#include <boost/asio.hpp>
#include <chrono>
#include <string>
#include <thread>

namespace siskinshunt {

/// Caller that speaks HTTP/1.0, so that the end of the connection is the end of an answer that comes in parts.
struct OldCaller {
    OldCaller(uint16_t port, const std::string& path, const std::string& body = {})
    {
        socket.connect({ boost::asio::ip::make_address("127.0.0.1"), port });
        const std::string head = body.empty() ? "GET " + path + " HTTP/1.0\r\n\r\n" : "POST " + path + " HTTP/1.0\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n";
        boost::asio::write(socket, boost::asio::buffer(head));
        boost::asio::write(socket, boost::asio::buffer(body));
    }

    // Reads until the text or, if it is empty, until the end.
    void read(const std::string& until = {})
    {
        while (!ec && (until.empty() || received.find(until) == std::string::npos)) {
            std::array<char, 65536> buf {};
            const size_t n = socket.read_some(boost::asio::buffer(buf), ec);
            received.append(buf.data(), n);
        }
    }

    // Waits until the text is the end of what has arrived, and leaves all of it unread.
    void awaitUnread(const std::string& text)
    {
        std::array<char, 4096> buf {};
        while (!std::string_view(buf.data(), socket.receive(boost::asio::buffer(buf), boost::asio::ip::tcp::socket::message_peek)).ends_with(text))
            std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }

    bool hasPart() const { return received.find("\r\n\r\npart") != std::string::npos; }

    boost::asio::io_context context;
    boost::asio::ip::tcp::socket socket { context };
    std::string received;
    boost::system::error_code ec;
};

}
