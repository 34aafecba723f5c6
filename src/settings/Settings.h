#pragma once

#include "base/Error.h"
#include "base/LogRecord.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// IPv4 address in dotted-decimal notation, and port.
struct Endpoint {
    std::string ip;
    uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;
};

std::string toString(const Endpoint&);
/// Parses "IP:PORT"; host names and IPv6 addresses are not supported.
std::optional<Endpoint> parseEndpoint(std::string_view text);

struct OperatorSettings {
    std::string name;
    std::string tokenSha256; ///< 64 lower-case hex digits.
};

struct PlatformSettings {
    std::string address; ///< "IP:PORT"; empty: no platform, so capacity is not managed.
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
    TimeMs idleTimeout { 60000 }; ///< Of a persistent caller connection.
    uint32_t connections = 4096;
};

struct Timings {
    TimeMs tick { 20 };
    TimeMs heartbeat { 100 };
    TimeMs electionMin { 500 };
    TimeMs electionMax { 1000 };
    TimeMs orderTimeout { 5000 };
    TimeMs clockSlack { 500 };
    TimeMs progressTimeout { 2000 }; ///< Maximum time without a byte on an upstream stream.
    TimeMs connectTimeout { 500 };
    TimeMs idleReuse { 5000 }; ///< Maximum idle time of a pooled upstream connection that is still used for calls.
    TimeMs entryValid { 30000 }; ///< How long callers can cache an entry address.
    TimeMs drainLimit { 3600000 }; ///< A leaving node stops after this time even if work is still in progress.
    TimeMs ledgerRetention { 24 * 3600 * 1000 };
};

/// Additional listening addresses; a port of 0 disables the listener.
struct ListenerSettings {
    Endpoint forward; ///< Callers whose requests are forwarded by host and path.
    Endpoint ready; ///< Readiness checks.
    Endpoint control; ///< Operators and upstreams, in the platform's protocol.
    Endpoint directory; ///< Callers that look up entry addresses, in the platform's protocol.
};

/// Limits across all nodes, as specified by the platform.
struct ForwardSettings {
    double retryRatio = 0.2; ///< Retries per request, by backend.
    double retryExtra = 20; ///< Additional retries per window.
    TimeMs retryWindow { 10000 };
    double exposureShare = 0.1; ///< Share of a backend's requests that a faulty version may get until the time limit of its order.
    double exposureExtra = 50; ///< Additional requests.
    double allowanceSlack = 0; ///< Tokens that an account can use beyond its allowance in a window.
};

/// Periodic calls to the platform, made by one node at a time.
struct DutySettings {
    std::string address; ///< "IP:PORT"; empty: none.
    bool usage = false; ///< Reports the usage of accounts.
    bool scaling = false; ///< Scales the instances of backends.
    TimeMs lease { 3000 }; ///< A new holder waits this long after its predecessor.
    TimeMs usageWindow { 5000 };
    TimeMs usageDue { 10000 }; ///< Deadline of the report after the end of the window.
};

/// How the voters of a cluster are established and replaced.
struct VoterSettings {
    bool bootstrap = false; ///< First start of the cluster: the seeds become the initial voters.
    uint32_t target = 0; ///< Number of voters that the group grows to; 0: left to operators.
    TimeMs missingTimeout { 30000 }; ///< A voter that no live node has claimed for this long is replaced by a spare. One whose node is back with another data folder is replaced at once.
};

/// Settings of one daemon.
struct Settings {
    std::string node;
    std::string cluster;
    std::string region;
    std::string failureDomain;
    std::map<std::string, std::string, std::less<>> regions; ///< Region of each failure domain.
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
    bool evacuations = true; ///< Operators may order evacuations of failure domains, so a node that starts without a view waits until it knows them.
    std::string weightStore; ///< "IP:PORT"; empty: none.
    TlsSettings tls;
    InputLimits limits;
    Timings timings;
    uint32_t ledgerGroups = 4; ///< Used only at bootstrap; 0: the node rejects once calls.
    uint32_t queueBytes = 24 << 20; ///< Bodies of queued calls of this node; leaves 40 of 64 MB of memory for tables and connections.
    LogLevel logLevel = LogLevel::Info;
};

/// Parses settings: JSON with comments. Every key is validated; errors state the file, the key or position, and the
/// allowed values. The file name is used only for errors and to resolve `peer_key_file`.
Result<Settings> parseSettings(std::string_view text, const std::string& file);

/// Reads and parses a settings file of at most 1 MiB. `peer_key_file` is relative to the settings file.
Result<Settings> loadSettings(const std::string& file);

}
