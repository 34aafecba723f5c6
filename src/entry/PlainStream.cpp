#include "entry/ByteStream.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

namespace siskinshunt {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    class PlainStream : public ByteStream {
    public:
        explicit PlainStream(tcp::socket socket)
            : m_socket(std::move(socket))
        {
        }

        void handshake(std::function<void(const boost::system::error_code&)> done) override { done({}); }
        void read(asio::mutable_buffer buffer, CompletionHandler done) override { m_socket.async_read_some(buffer, std::move(done)); }
        void write(asio::const_buffer buffer, CompletionHandler done) override { asio::async_write(m_socket, buffer, std::move(done)); }
        tcp::socket& socket() override { return m_socket; }

    private:
        tcp::socket m_socket;
    };

}

std::unique_ptr<ByteStream> makePlainStream(tcp::socket socket)
{
    return std::make_unique<PlainStream>(std::move(socket));
}

}
