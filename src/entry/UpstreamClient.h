#pragma once

#include "node/NodeIo.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace siskinshunt {

struct UpstreamClientOptions {
    TimeMs idleReuse { 5000 }; ///< A pooled connection that idled longer is not used.
    TimeMs idleClose { 60000 }; ///< Pooled connections are closed after this time, or when the upstream's own limit is near.
    size_t maxIdlePerAddress = 16;
    uint64_t maxResponseBytes = 64 << 20; ///< Of one answer body.
};

/// HTTP/1.1 client with a pool of idle connections per address. Reports what happens to each dispatch on the event loop,
/// never from inside dispatch() or cancel().
class UpstreamClient {
public:
    UpstreamClient(boost::asio::io_context&, UpstreamClientOptions, std::function<void(UpstreamEvent)> report);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    void dispatch(UpstreamDispatch);
    /// Closes the connection of the dispatch, which tells the upstream to stop; no event follows.
    void cancel(DispatchId);
    /// Closes the idle connections to the address: one of them went silent, so all are suspect.
    void discardPool(const std::string& address);
    /// Connections opened since the start.
    uint64_t connectionsOpened() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
