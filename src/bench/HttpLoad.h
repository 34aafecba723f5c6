#pragma once

#include "base/Histogram.h"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinshunt {

struct HttpLoadOptions {
    std::vector<std::string> addresses; ///< "IP:port"; used in turn by the connections.
    std::string request; ///< Whole HTTP/1.1 request that is sent again and again.
    size_t connections = 64; ///< Kept open.
    double rate = 0; ///< Requests/s with exponential gaps; 0: each connection sends the next request at once.
    double seconds = 2;
    double warmUp = 0.5; ///< Seconds before the ones that count.
    uint64_t seed = 1;
};

struct HttpLoadResult {
    uint64_t answered = 0; ///< With status 200.
    uint64_t otherStatus = 0; ///< Another status.
    uint64_t failedConnections = 0; ///< Connections that could not be opened or closed early.
    double perSecond = 0; ///< Answered.
    Histogram latencyUs; ///< From the time that the request was due, so that a late client does not hide waiting.
};

/// Sends requests from one thread over kept-alive connections. Throws std::runtime_error when no connection opens.
HttpLoadResult runHttpLoad(const HttpLoadOptions&);

}
