#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>

namespace boost::asio::ssl {
class context;
}

namespace siskinshunt {

/// Byte stream over a client connection, with or without TLS. At most one read and one write may be outstanding.
class ByteStream {
public:
    using CompletionHandler = std::function<void(const boost::system::error_code&, size_t)>;

    virtual ~ByteStream() = default;
    virtual void handshake(std::function<void(const boost::system::error_code&)>) = 0;
    virtual void read(boost::asio::mutable_buffer, CompletionHandler) = 0;
    virtual void write(boost::asio::const_buffer, CompletionHandler) = 0;
    virtual boost::asio::ip::tcp::socket& socket() = 0;
};

std::unique_ptr<ByteStream> makePlainStream(boost::asio::ip::tcp::socket);
/// `context` must outlive the stream.
std::unique_ptr<ByteStream> makeTlsStream(boost::asio::ip::tcp::socket, boost::asio::ssl::context& context);

}
