#include "entry/PeerTransport.h"

#include "entry/ToChrono.h"

#include <array>
#include <boost/asio.hpp>
#include <boost/smart_ptr/intrusive_ptr.hpp>
#include <boost/smart_ptr/intrusive_ref_counter.hpp>
#include <deque>
#include <map>

namespace siskinshunt {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using Clock = std::chrono::steady_clock;
using boost::system::error_code;

static constexpr size_t lengthBytes = 4;
// A link without a connection is dropped instead of reconnected when it has been unused for this long.
static constexpr auto linkIdleTimeout = std::chrono::seconds(30);
static constexpr size_t maxDatagramBytes = 2048;
// A frame of length zero is a ping from the connecting side and the reply to it from the accepting side.
static constexpr std::array<char, lengthBytes> pingFrame {};

static uint32_t readLength(const std::array<unsigned char, lengthBytes>& bytes)
{
    return static_cast<uint32_t>(bytes[0]) | static_cast<uint32_t>(bytes[1]) << 8 | static_cast<uint32_t>(bytes[2]) << 16 | static_cast<uint32_t>(bytes[3]) << 24;
}

static std::array<unsigned char, lengthBytes> writeLength(uint32_t n)
{
    return { static_cast<unsigned char>(n), static_cast<unsigned char>(n >> 8), static_cast<unsigned char>(n >> 16), static_cast<unsigned char>(n >> 24) };
}

namespace {

    // Outgoing connection to one peer, with its send queue.
    struct Link : boost::intrusive_ref_counter<Link, boost::thread_unsafe_counter> {
        explicit Link(asio::io_context& context)
            : wakeTimer(context)
            , socket(context)
        {
        }

        Endpoint peer;
        std::deque<std::string> queue;
        size_t queuedBytes = 0;
        size_t framesDropped = 0; ///< Since the queue became full; 0 while it is not.
        asio::steady_timer wakeTimer;
        tcp::socket socket;
        Clock::time_point lastReceived;
        Clock::time_point lastUsed;
        bool unreadable = false; ///< The address of the peer cannot be read; frames to it are dropped.
        uint64_t generation = 0; ///< Changes when a connection is opened or closed; coroutines of an earlier connection end.
    };
    using LinkPtr = boost::intrusive_ptr<Link>;

}

struct PeerTransport::Impl : std::enable_shared_from_this<PeerTransport::Impl> {
    Impl(asio::io_context& context, PeerTransportOptions options, PeerTransportHandlers handlers)
        : context(context)
        , options(std::move(options))
        , handlers(std::move(handlers))
        , datagramSocket(context)
        , acceptor(context)
    {
    }

    asio::io_context& context;
    PeerTransportOptions options;
    PeerTransportHandlers handlers;
    udp::socket datagramSocket;
    tcp::acceptor acceptor;
    std::map<Endpoint, LinkPtr> links;
    uint64_t sent = 0;
    uint64_t received = 0;
    bool stopping = false;

    void bind();
    asio::awaitable<void> receiveDatagrams();
    asio::awaitable<void> acceptLoop();
    asio::awaitable<void> receiveFrames(tcp::socket);
    asio::awaitable<void> runLink(LinkPtr);
    asio::awaitable<void> sendFrames(LinkPtr);
    asio::awaitable<void> receivePingReplies(LinkPtr, uint64_t generation);
    void logLoss(const Link&, std::string code, std::string text, size_t frames) const;
};

void PeerTransport::Impl::logLoss(const Link& link, std::string code, std::string text, size_t frames) const
{
    handlers.log({ LogLevel::Warning, std::move(code), Step::Send, toString(link.peer), std::move(text), { { "frames", std::to_string(frames) }, { "queued_bytes", std::to_string(link.queuedBytes) } } });
}

void PeerTransport::Impl::bind()
{
    const auto address = asio::ip::make_address(options.listen.ip);
    datagramSocket.open(udp::v4());
    datagramSocket.bind({ address, options.listen.port });
    acceptor.open(tcp::v4());
    acceptor.set_option(asio::socket_base::reuse_address(true));
    acceptor.bind({ address, options.listen.port });
    acceptor.listen();
}

asio::awaitable<void> PeerTransport::Impl::receiveDatagrams()
{
    const auto self = shared_from_this();
    std::string buf(maxDatagramBytes, '\0');
    while (!stopping) {
        udp::endpoint from;
        error_code ec;
        const size_t n = co_await datagramSocket.async_receive_from(asio::buffer(buf), from, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (ec)
            continue;
        received += n;
        handlers.datagram(buf.substr(0, n), { from.address().to_string(), from.port() });
    }
}

asio::awaitable<void> PeerTransport::Impl::acceptLoop()
{
    const auto self = shared_from_this();
    while (!stopping) {
        error_code ec;
        tcp::socket socket(context);
        co_await acceptor.async_accept(socket, asio::redirect_error(asio::use_awaitable, ec));
        if (ec == asio::error::operation_aborted)
            co_return;
        if (!ec)
            asio::co_spawn(context, receiveFrames(std::move(socket)), asio::detached);
    }
}

asio::awaitable<void> PeerTransport::Impl::receiveFrames(tcp::socket socket)
{
    const auto self = shared_from_this();
    error_code ec;
    socket.set_option(tcp::no_delay(true), ec);
    while (!stopping) {
        std::array<unsigned char, lengthBytes> length {};
        co_await asio::async_read(socket, asio::buffer(length), asio::redirect_error(asio::use_awaitable, ec));
        const uint32_t n = readLength(length);
        if (ec || n > options.maxFrameBytes)
            co_return;
        received += lengthBytes + n;
        if (!n) {
            co_await asio::async_write(socket, asio::buffer(pingFrame), asio::redirect_error(asio::use_awaitable, ec));
            sent += lengthBytes;
            continue;
        }
        // The buffer grows with the received bytes, so that a length field alone cannot cause a large allocation.
        std::string bytes;
        co_await asio::async_read(socket, asio::dynamic_buffer(bytes, n), asio::transfer_exactly(n), asio::redirect_error(asio::use_awaitable, ec));
        if (ec)
            co_return;
        handlers.frame(std::move(bytes));
    }
}

asio::awaitable<void> PeerTransport::Impl::receivePingReplies(LinkPtr link, uint64_t generation)
{
    const auto self = shared_from_this();
    std::array<char, 64> buf {};
    error_code ec;
    while (!ec && link->generation == generation) {
        const size_t n = co_await link->socket.async_read_some(asio::buffer(buf), asio::redirect_error(asio::use_awaitable, ec));
        received += n;
        link->lastReceived = Clock::now();
    }
    if (link->generation == generation)
        link->socket.close(ec);
    link->wakeTimer.cancel();
}

// Writes queued frames and pings until the connection breaks or the ping timeout expires.
asio::awaitable<void> PeerTransport::Impl::sendFrames(LinkPtr link)
{
    auto lastPing = Clock::now();
    link->lastReceived = lastPing;
    error_code ec;
    while (!ec && link->socket.is_open() && !stopping) {
        if (!link->queue.empty()) {
            const std::string frame = std::move(link->queue.front());
            link->queue.pop_front();
            link->queuedBytes -= frame.size();
            const auto length = writeLength(static_cast<uint32_t>(frame.size()));
            const std::array<asio::const_buffer, 2> buffers { asio::buffer(length), asio::buffer(frame) };
            sent += lengthBytes + frame.size();
            co_await asio::async_write(link->socket, buffers, asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        const auto now = Clock::now();
        if (now - link->lastReceived > toChrono(options.pingTimeout))
            co_return;
        if (now - lastPing >= toChrono(options.pingInterval)) {
            lastPing = now;
            sent += lengthBytes;
            co_await asio::async_write(link->socket, asio::buffer(pingFrame), asio::redirect_error(asio::use_awaitable, ec));
            continue;
        }
        error_code ignored;
        link->wakeTimer.expires_after(toChrono(options.pingInterval));
        co_await link->wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
    }
}

asio::awaitable<void> PeerTransport::Impl::runLink(LinkPtr link)
{
    const auto self = shared_from_this();
    error_code ec;
    const tcp::endpoint endpoint(asio::ip::make_address(link->peer.ip, ec), link->peer.port);
    if (ec) {
        // The link stays in the table, so that the line is not repeated with each frame.
        link->unreadable = true;
        logLoss(*link, "peer_address_unreadable", "frames to a peer without a readable address are dropped", link->queue.size());
        link->queue.clear();
        co_return;
    }
    while (!stopping) {
        ec = {};
        if (link->queue.empty() && Clock::now() - link->lastUsed > linkIdleTimeout)
            break;
        link->socket = tcp::socket(context);
        // Limits the connection attempt; the timeout of the operating system is minutes.
        asio::steady_timer connectTimer(context, toChrono(options.pingTimeout));
        connectTimer.async_wait([link](error_code timerError) {
            error_code closeError;
            if (!timerError)
                link->socket.close(closeError);
        });
        co_await link->socket.async_connect(endpoint, asio::redirect_error(asio::use_awaitable, ec));
        connectTimer.cancel();
        if (!ec && link->socket.is_open()) {
            link->socket.set_option(tcp::no_delay(true), ec);
            asio::co_spawn(context, receivePingReplies(link, ++link->generation), asio::detached);
            co_await sendFrames(link);
        }
        ++link->generation;
        link->socket.close(ec);
        if (!link->queue.empty())
            logLoss(*link, "peer_frames_lost", "the frames that waited for the connection are lost with it", link->queue.size());
        link->queue.clear();
        link->queuedBytes = 0;
        link->wakeTimer.expires_after(toChrono(options.reconnectDelay));
        co_await link->wakeTimer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    links.erase(link->peer);
}

PeerTransport::PeerTransport(asio::io_context& context, PeerTransportOptions options, PeerTransportHandlers handlers)
    : m_impl(std::make_shared<Impl>(context, std::move(options), std::move(handlers)))
{
    m_impl->bind();
}

PeerTransport::~PeerTransport()
{
    m_impl->stopping = true;
    error_code ec;
    m_impl->datagramSocket.close(ec);
    m_impl->acceptor.close(ec);
}

void PeerTransport::start()
{
    asio::co_spawn(m_impl->context, m_impl->receiveDatagrams(), asio::detached);
    asio::co_spawn(m_impl->context, m_impl->acceptLoop(), asio::detached);
}

void PeerTransport::send(const Datagram& datagram)
{
    error_code ec;
    const udp::endpoint to(asio::ip::make_address(datagram.peer.ip, ec), datagram.peer.port);
    if (ec)
        return;
    // A full send buffer drops the datagram, as the network may. Gossip tolerates the loss because it repeats its messages.
    m_impl->datagramSocket.non_blocking(true, ec);
    m_impl->sent += m_impl->datagramSocket.send_to(asio::buffer(datagram.bytes), to, 0, ec);
}

void PeerTransport::send(PeerFrame frame)
{
    auto& link = m_impl->links[frame.peer];
    const bool isNew = !link;
    if (isNew) {
        link = LinkPtr(new Link(m_impl->context));
        link->peer = frame.peer;
    }
    link->lastUsed = Clock::now();
    if (frame.bytes.empty() || link->unreadable)
        return;
    if (link->queuedBytes + frame.bytes.size() > m_impl->options.maxQueuedBytes) {
        if (!link->framesDropped++)
            m_impl->logLoss(*link, "peer_queue_full", "frames are dropped until the queue is shorter", 1);
        return;
    }
    if (link->framesDropped)
        m_impl->logLoss(*link, "peer_queue_open", "the queue takes frames again", std::exchange(link->framesDropped, 0));
    link->queuedBytes += frame.bytes.size();
    link->queue.push_back(std::move(frame.bytes));
    link->wakeTimer.cancel();
    if (isNew)
        asio::co_spawn(m_impl->context, m_impl->runLink(link), asio::detached);
}

uint64_t PeerTransport::bytesSent() const
{
    return m_impl->sent;
}

uint64_t PeerTransport::bytesReceived() const
{
    return m_impl->received;
}

}
