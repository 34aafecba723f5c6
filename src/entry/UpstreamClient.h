#pragma once

#include "node/NodeIo.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace siskinshunt {

struct UpstreamClientOptions {
    TimeMs idleReuse { 5000 }; ///< A pooled connection that has been idle for longer is not reused.
    TimeMs idleClose { 60000 }; ///< Idle connections are closed after this time, or earlier when the idle timeout of the upstream is near.
    size_t maxIdlePerAddress = 16;
    uint64_t maxResponseBytes = 64 << 20; ///< Limit of one response body.
};

/// HTTP/1.1 client with a pool of idle connections per address. Events of a dispatch are reported on the event loop, never
/// from inside dispatch() or cancel().
class UpstreamClient {
public:
    UpstreamClient(boost::asio::io_context&, UpstreamClientOptions, std::function<void(UpstreamEvent)> report);
    ~UpstreamClient();
    UpstreamClient(const UpstreamClient&) = delete;
    UpstreamClient& operator=(const UpstreamClient&) = delete;

    void dispatch(UpstreamDispatch);
    /// Closes the connection of the dispatch, so that the upstream can stop. No further event is reported for it.
    void cancel(DispatchId);
    /// Closes the idle connections to the address. Called when one of its connections stopped responding, since the others
    /// may be broken too.
    void discardPool(const std::string& address);
    /// Number of connections opened since the client was created.
    uint64_t connectionsOpened() const;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

}
