#include "entry/ByteStream.h"

#include <boost/asio/ssl/context.hpp>
#include <boost/asio/ssl/stream.hpp>
#include <boost/asio/write.hpp>

namespace siskinshunt {

namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

    class TlsStream : public ByteStream {
    public:
        TlsStream(tcp::socket socket, asio::ssl::context& context)
            : m_stream(std::move(socket), context)
        {
        }

        void handshake(std::function<void(const boost::system::error_code&)> done) override { m_stream.async_handshake(asio::ssl::stream_base::server, std::move(done)); }
        void read(asio::mutable_buffer buffer, CompletionHandler done) override { m_stream.async_read_some(buffer, std::move(done)); }
        void write(asio::const_buffer buffer, CompletionHandler done) override { asio::async_write(m_stream, buffer, std::move(done)); }
        tcp::socket& socket() override { return m_stream.next_layer(); }

    private:
        asio::ssl::stream<tcp::socket> m_stream;
    };

}

std::unique_ptr<ByteStream> makeTlsStream(tcp::socket socket, asio::ssl::context& context)
{
    return std::make_unique<TlsStream>(std::move(socket), context);
}

}
