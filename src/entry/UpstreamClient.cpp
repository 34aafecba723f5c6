#include "entry/UpstreamClient.h"

#include "entry/ToChrono.h"
#include "entry/UpstreamConnection.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <unordered_map>

namespace siskinshunt {

namespace asio = boost::asio;
using Clock = UpstreamConnection::Clock;
using ConnectionPtr = std::shared_ptr<UpstreamConnection>;

// Interval of timeout checks. Dispatch timeouts are at least 50 ms.
static constexpr auto sweepInterval = std::chrono::milliseconds(25);
// Interval of checks for expired idle connections while no dispatch is active.
static constexpr auto idleSweepInterval = std::chrono::milliseconds(1000);

struct UpstreamClient::Impl : std::enable_shared_from_this<UpstreamClient::Impl> {
    Impl(asio::io_context& context, UpstreamClientOptions options, std::function<void(UpstreamEvent)> report)
        : context(context)
        , options(options)
        , report(std::move(report))
        , timer(context)
    {
    }

    asio::io_context& context;
    UpstreamClientOptions options;
    std::function<void(UpstreamEvent)> report;
    asio::steady_timer timer;
    std::unordered_map<std::string, std::vector<ConnectionPtr>> idle; ///< Per address; the most recently used connection is last.
    std::unordered_map<DispatchId, ConnectionPtr> active;
    std::unordered_map<DispatchId, bool> starting; ///< Dispatches that are posted to the event loop and not started yet; true if cancelled.
    uint64_t opened = 0;
    bool sweeping = false;

    void start(const UpstreamDispatch&);
    ConnectionPtr acquirePooled(const UpstreamDispatch&);
    void finished(UpstreamConnection&, bool reusable);
    void lost(UpstreamConnection&);
    void sweep();
    void scheduleSweep(std::chrono::milliseconds delay, bool isRepeat);
    void closeExpired(Clock::time_point now);
};

ConnectionPtr UpstreamClient::Impl::acquirePooled(const UpstreamDispatch& dispatch)
{
    const auto it = idle.find(dispatch.address);
    if (dispatch.freshConnection || it == idle.end())
        return {};
    const auto maxAge = toChrono(std::min(dispatch.maxIdle, options.idleReuse));
    while (!it->second.empty()) {
        const auto age = Clock::now() - it->second.back()->idleSince();
        if (age > maxAge || age > it->second.back()->idleLimit())
            return {};
        ConnectionPtr connection = std::move(it->second.back());
        it->second.pop_back();
        if (!connection->hasUnreadInput())
            return connection;
        connection->close();
    }
    return {};
}

void UpstreamClient::Impl::start(const UpstreamDispatch& dispatch)
{
    const auto it = starting.find(dispatch.dispatch);
    const bool cancelled = it == starting.end() || it->second;
    if (it != starting.end())
        starting.erase(it);
    if (cancelled)
        return;
    if (auto pooled = acquirePooled(dispatch)) {
        active.emplace(dispatch.dispatch, pooled);
        pooled->serve(dispatch);
    } else {
        UpstreamConnection::Handlers handlers {
            .report = [self = weak_from_this()](UpstreamEvent event) {
                if (const auto impl = self.lock())
                    impl->report(std::move(event)); },
            .finished = [self = weak_from_this()](UpstreamConnection& connection, bool reusable) {
                if (const auto impl = self.lock())
                    impl->finished(connection, reusable); },
            .lost = [self = weak_from_this()](UpstreamConnection& connection) {
                if (const auto impl = self.lock())
                    impl->lost(connection); },
        };
        const auto connection = std::make_shared<UpstreamConnection>(context, dispatch.address, options.maxResponseBytes, std::move(handlers));
        ++opened;
        active.emplace(dispatch.dispatch, connection);
        connection->connect(dispatch);
    }
    if (!sweeping)
        sweep();
}

void UpstreamClient::Impl::finished(UpstreamConnection& connection, bool reusable)
{
    const ConnectionPtr self = connection.shared_from_this();
    std::erase_if(active, [&](const auto& it) { return it.second == self; });
    auto& pool = idle[connection.address()];
    if (reusable && pool.size() < options.maxIdlePerAddress)
        pool.push_back(self);
    else
        connection.close();
}

void UpstreamClient::Impl::lost(UpstreamConnection& connection)
{
    const auto it = idle.find(connection.address());
    if (it != idle.end())
        std::erase_if(it->second, [&](const auto& entry) { return entry.get() == &connection; });
}

void UpstreamClient::Impl::closeExpired(Clock::time_point now)
{
    const auto limit = toChrono(options.idleClose);
    for (auto it = idle.begin(); it != idle.end();) {
        std::erase_if(it->second, [&](const auto& entry) {
            const bool expired = now - entry->idleSince() > std::min(limit, entry->idleLimit());
            if (expired)
                entry->close();
            return expired;
        });
        it = it->second.empty() ? idle.erase(it) : std::next(it);
    }
}

void UpstreamClient::Impl::sweep()
{
    const auto now = Clock::now();
    std::vector<ConnectionPtr> overdue;
    for (const auto& [id, connection] : active) {
        if (connection->deadline() <= now)
            overdue.push_back(connection);
    }
    for (const auto& connection : overdue)
        connection->checkTimeout(now);
    closeExpired(now);
    sweeping = !active.empty() || !idle.empty();
    if (!sweeping)
        return;
    scheduleSweep(active.empty() ? idleSweepInterval : sweepInterval, false);
}

// A timer that runs late may have been queued before a stall. The sockets are then polled once more, so that bytes that have
// arrived are read before the timeouts are checked.
void UpstreamClient::Impl::scheduleSweep(std::chrono::milliseconds delay, bool isRepeat)
{
    const auto due = Clock::now() + delay;
    timer.expires_after(delay);
    timer.async_wait([self = weak_from_this(), due, isRepeat](const boost::system::error_code& ec) {
        const auto impl = self.lock();
        if (ec || !impl)
            return;
        if (!isRepeat && Clock::now() - due > sweepInterval)
            return impl->scheduleSweep(std::chrono::milliseconds(0), true);
        impl->sweep();
    });
}

UpstreamClient::UpstreamClient(asio::io_context& context, UpstreamClientOptions options, std::function<void(UpstreamEvent)> report)
    : m_impl(std::make_shared<Impl>(context, options, std::move(report)))
{
}

UpstreamClient::~UpstreamClient()
{
    m_impl->timer.cancel();
    for (const auto& [id, connection] : m_impl->active)
        connection->close();
    for (const auto& [address, connections] : m_impl->idle) {
        for (const auto& connection : connections)
            connection->close();
    }
}

void UpstreamClient::dispatch(UpstreamDispatch dispatch)
{
    // Reporting an event re-enters the caller of this function, so the dispatch is started from the event loop.
    m_impl->starting.emplace(dispatch.dispatch, false);
    const bool isIdleSweep = m_impl->active.empty() && m_impl->sweeping;
    if (isIdleSweep) {
        m_impl->timer.cancel();
        m_impl->sweeping = false;
    }
    boost::asio::post(m_impl->context, [impl = m_impl, dispatch = std::move(dispatch)] { impl->start(dispatch); });
}

void UpstreamClient::cancel(DispatchId id)
{
    if (const auto it = m_impl->starting.find(id); it != m_impl->starting.end()) {
        it->second = true;
        return;
    }
    const auto it = m_impl->active.find(id);
    if (it == m_impl->active.end())
        return;
    const ConnectionPtr connection = it->second;
    m_impl->active.erase(it);
    connection->close();
}

void UpstreamClient::discardPool(const std::string& address)
{
    // Connections in use may be broken like the idle ones, so they are not returned to the pool.
    for (const auto& [id, connection] : m_impl->active) {
        if (connection->address() == address)
            connection->forbidReuse();
    }
    const auto it = m_impl->idle.find(address);
    if (it == m_impl->idle.end())
        return;
    for (const auto& connection : it->second)
        connection->close();
    m_impl->idle.erase(it);
}

uint64_t UpstreamClient::connectionsOpened() const
{
    return m_impl->opened;
}

}
