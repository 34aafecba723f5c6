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
    TimeMs idleReuse { 5000 }; ///< A pooled connection to an upstream that idled longer is not used for calls.
    TimeMs entryValid { 30000 }; ///< How long callers may keep an entry address.
    TimeMs drainLimit { 3600000 }; ///< A node that leaves stops after this time, whatever is still under way.
    TimeMs ledgerRetention { 24 * 3600 * 1000 };
};

/// Addresses beside the node's own interface; a port of 0 serves nothing.
struct ListenerSettings {
    Endpoint forward; ///< Callers whose requests are forwarded by host and path.
    Endpoint ready; ///< Readiness checks.
    Endpoint control; ///< Operators and upstreams, in the dialect of the platform.
    Endpoint directory; ///< Callers that ask for entry addresses, in the dialect of the platform.
};

/// Limits that hold over all nodes, as the platform states them.
struct ForwardSettings {
    double retryRatio = 0.2; ///< Further sends per request of a backend.
    double retryExtra = 20; ///< Further sends on top, per window.
    TimeMs retryWindow { 10000 };
    double allowanceSlack = 0; ///< Tokens that an account may use beyond its allowance in a window.
};

/// Calls to the platform that one node at a time makes.
struct DutySettings {
    std::string address; ///< "IP:PORT"; empty: none.
    bool usage = false; ///< Reports what the accounts used.
    bool scaling = false; ///< Orders instances of backends.
    TimeMs lease { 3000 }; ///< A new holder waits this long after the one before it.
    TimeMs usageWindow { 5000 };
    TimeMs usageDue { 10000 }; ///< After the end of the window.
};

/// How the voters of a cluster come to be.
struct VoterSettings {
    bool bootstrap = false; ///< The first start of the cluster: the seeds become the first voters.
    uint32_t target = 0; ///< The group grows to as many voters; 0: operators decide.
    TimeMs missingTimeout { 30000 }; ///< A voter that no live node has held for this long is replaced. A restart keeps its voter id, so only a lost disk or instance is absent this long.
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
    ListenerSettings listeners;
    ForwardSettings forward;
    DutySettings duties;
    VoterSettings voters;
    std::string weightStore; ///< "IP:PORT"; empty: none.
    TlsSettings tls;
    InputLimits limits;
    Timings timings;
    uint32_t ledgerGroups = 4; ///< Used once, at bootstrap; 0: the node takes no once calls.
    uint32_t queueBytes = 24 << 20; ///< Bodies of queued calls of this node; leaves 40 of 64 MB for its tables and connections.
    LogLevel logLevel = LogLevel::Info;
};

/// Parses settings: JSON with comments. Every key is checked; the error names file, key or line and column, and what is
/// allowed. The file name is used only in errors.
Result<Settings> parseSettings(std::string_view text, const std::string& file);

/// Reads and parses a settings file of at most 1 MiB. `peer_key_file` is read relative to the settings file.
Result<Settings> loadSettings(const std::string& file);

}
