#pragma once

#include "base/Error.h"
#include "base/LogRecord.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// IPv4 address in dotted form and port.
struct Endpoint {
    std::string ip;
    uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

std::string toString(const Endpoint&);
/// Reads "IP:PORT"; names and IPv6 are not accepted.
std::optional<Endpoint> parseEndpoint(std::string_view text);

struct OperatorSettings {
    std::string name;
    std::string tokenSha256; ///< 64 lower-case hex digits.
};

struct PlatformSettings {
    std::string address; ///< "IP:PORT"; empty: no platform, capacity is not managed.
    bool checksFencing = false;
};

struct TlsSettings {
    std::string certificateFile; ///< PEM; empty: plain HTTP.
    std::string keyFile;
};

struct InputLimits {
    uint32_t headerBytes = 16 << 10;
    uint64_t bodyBytes = 4 << 20;
    uint32_t jsonDepth = 32;
    TimeMs headerTimeout { 10000 }; ///< From the first byte of a request to the end of its header.
    TimeMs bodyTimeout { 30000 };
    TimeMs idleTimeout { 60000 }; ///< Of a kept-alive caller connection.
    uint32_t connections = 4096;
};

struct Timings {
    TimeMs tick { 20 };
    TimeMs heartbeat { 100 };
    TimeMs electionMin { 500 };
    TimeMs electionMax { 1000 };
    TimeMs orderTimeout { 5000 };
    TimeMs clockSlack { 500 };
    TimeMs progressTimeout { 2000 }; ///< Of an upstream stream without a byte.
    TimeMs connectTimeout { 500 };
    TimeMs idleProbeAfter { 5000 };
    TimeMs entryValid { 30000 }; ///< How long callers may keep an entry address.
    TimeMs ledgerRetention { 24 * 3600 * 1000 };
};

/// Settings of one daemon.
struct Settings {
    std::string node;
    std::string cluster;
    std::string region;
    std::string failureDomain;
    Endpoint http; ///< Callers, upstreams and operators.
    Endpoint peer; ///< Gossip over UDP, frames over TCP.
    std::string peerKey; ///< Shared secret of the cluster, 32 to 128 bytes.
    std::vector<Endpoint> seeds;
    std::string dataFolder; ///< Empty: this node cannot be a voter.
    std::vector<OperatorSettings> operators;
    std::string announceTokenSha256;
    PlatformSettings platform;
    std::string weightStore; ///< "IP:PORT"; empty: none.
    TlsSettings tls;
    InputLimits limits;
    Timings timings;
    uint32_t ledgerGroups = 4; ///< Used once, at bootstrap.
    uint32_t queueBytes = 24 << 20; ///< Bodies of queued calls of this node; leaves 40 of 64 MB for its tables and connections.
    LogLevel logLevel = LogLevel::Info;
};

/// Parses settings: JSON with comments. Every key is checked; the error names file, key or line and column, and what is
/// allowed. The file name is used only in errors.
Result<Settings> parseSettings(std::string_view text, const std::string& file);

/// Reads and parses a settings file of at most 1 MiB. `peer_key_file` is read relative to the settings file.
Result<Settings> loadSettings(const std::string& file);

}
