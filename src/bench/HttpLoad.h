#pragma once

#include "base/Histogram.h"

#include <cstdint>
#include <string>
#include <vector>

namespace siskinshunt {

struct HttpLoadOptions {
    std::vector<std::string> addresses; ///< "IP:port"; connections use them in turn.
    std::string request; ///< Complete HTTP/1.1 request, sent repeatedly.
    size_t connections = 64; ///< Persistent connections.
    double rate = 0; ///< Requests/s with exponentially distributed intervals; 0: closed loop on each connection.
    double seconds = 2;
    double warmUp = 0.5; ///< Seconds before the measurement starts.
    uint64_t seed = 1;
};

struct HttpLoadResult {
    uint64_t answered = 0; ///< Responses with status 200.
    uint64_t otherStatus = 0; ///< Responses with another status.
    uint64_t failedConnections = 0; ///< Connections that could not be opened or were closed early.
    double perSecond = 0; ///< Responses with status 200 per second.
    Histogram latencyUs; ///< Since the time the request was due, so that time spent waiting in the client is included.
};

/// Sends requests from one thread over persistent connections. Throws std::runtime_error if no connection can be opened.
HttpLoadResult runHttpLoad(const HttpLoadOptions&);

}
