#include "settings/Settings.h"

#include "settings/SettingsReader.h"

#include <arpa/inet.h>
#include <array>
#include <charconv>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace siskinshunt {

static constexpr size_t maxFileBytes = 1 << 20;
static constexpr size_t minKeyBytes = 32;
static constexpr size_t maxKeyBytes = 128;

std::string toString(const Endpoint& endpoint)
{
    return endpoint.ip + ":" + std::to_string(endpoint.port);
}

// The sockets read addresses with inet_pton() too, so every accepted text is an address to them.
static bool isIpv4(std::string_view text)
{
    std::array<char, INET_ADDRSTRLEN> buf {};
    if (text.size() >= buf.size() || text.find('\0') != std::string_view::npos)
        return false;
    text.copy(buf.data(), text.size());
    in_addr address {};
    return ::inet_pton(AF_INET, buf.data(), &address) == 1;
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    const auto portText = text.substr(colon + 1);
    uint16_t port = 0;
    const auto [end, ec] = std::from_chars(portText.data(), portText.data() + portText.size(), port);
    if (portText.empty() || ec != std::errc {} || end != portText.data() + portText.size() || !port || !isIpv4(text.substr(0, colon)))
        return std::nullopt;
    return Endpoint { std::string(text.substr(0, colon)), port };
}

static void readOperators(SettingsReader& reader, Settings& settings)
{
    reader.list("operators", [&](SettingsReader& item) {
        OperatorSettings entry;
        item.name("name", entry.name, true);
        item.digest("token_sha256", entry.tokenSha256, true);
        settings.operators.push_back(std::move(entry));
    });
}

static void readLimits(SettingsReader& reader, InputLimits& limits)
{
    reader.object("limits", [&](SettingsReader& item) {
        item.integer("header_bytes", limits.headerBytes, 1024, 1 << 20);
        item.integer("body_bytes", limits.bodyBytes, 1024, 256 << 20);
        item.integer("json_depth", limits.jsonDepth, 4, 256);
        item.duration("header_timeout_ms", limits.headerTimeout, 100, 600000);
        item.duration("body_timeout_ms", limits.bodyTimeout, 100, 600000);
        item.duration("idle_timeout_ms", limits.idleTimeout, 1000, 3600000);
        item.integer("connections", limits.connections, 16, 65536);
    });
}

static void readTimings(SettingsReader& reader, Timings& timings)
{
    reader.object("timings", [&](SettingsReader& item) {
        item.duration("tick_ms", timings.tick, 1, 1000);
        item.duration("heartbeat_ms", timings.heartbeat, 10, 10000);
        item.duration("election_min_ms", timings.electionMin, 50, 60000);
        item.duration("election_max_ms", timings.electionMax, 100, 120000);
        item.duration("order_timeout_ms", timings.orderTimeout, 100, 600000);
        item.duration("clock_slack_ms", timings.clockSlack, 10, 60000);
        item.duration("progress_timeout_ms", timings.progressTimeout, 100, 600000);
        item.duration("connect_timeout_ms", timings.connectTimeout, 50, 60000);
        item.duration("idle_reuse_ms", timings.idleReuse, 0, 600000);
        item.duration("entry_valid_ms", timings.entryValid, 100, 3600000);
        item.duration("drain_limit_ms", timings.drainLimit, 100, 24 * 3600 * 1000);
        item.duration("ledger_retention_ms", timings.ledgerRetention, 1000, int64_t { 30 } * 24 * 3600 * 1000);
    });
}

static void readForwarding(SettingsReader& reader, Settings& settings)
{
    reader.object("listeners", [&](SettingsReader& item) {
        item.endpoint("forward", settings.listeners.forward, false);
        item.endpoint("ready", settings.listeners.ready, false);
        item.endpoint("control", settings.listeners.control, false);
        item.endpoint("directory", settings.listeners.directory, false);
    });
    reader.object("forward", [&](SettingsReader& item) {
        item.number("retry_ratio", settings.forward.retryRatio, 0, 10);
        item.number("retry_extra", settings.forward.retryExtra, 0, 1e9);
        item.duration("retry_window_ms", settings.forward.retryWindow, 100, 3600000);
        item.number("exposure_share", settings.forward.exposureShare, 0, 1);
        item.number("exposure_extra", settings.forward.exposureExtra, 0, 1e9);
        item.number("allowance_slack", settings.forward.allowanceSlack, 0, 1e12);
    });
    reader.object("duties", [&](SettingsReader& item) {
        item.endpointText("address", settings.duties.address, true);
        item.boolean("usage", settings.duties.usage);
        item.boolean("scaling", settings.duties.scaling);
        item.duration("lease_ms", settings.duties.lease, 0, 600000);
        item.duration("usage_window_ms", settings.duties.usageWindow, 100, 3600000);
        item.duration("usage_due_ms", settings.duties.usageDue, 100, 3600000);
    });
    reader.object("voters", [&](SettingsReader& item) {
        item.boolean("found", settings.voters.bootstrap);
        item.integer("target", settings.voters.target, 0, 7);
        item.duration("missing_ms", settings.voters.missingTimeout, 100, 3600000);
    });
}

// `seed_port` replaces the ports of all seeds, which can be listed with another port of their instances.
static void readSeeds(SettingsReader& reader, Settings& settings)
{
    uint16_t port = 0;
    reader.endpoints("seeds", settings.seeds);
    reader.integer("seed_port", port, 1, 65535);
    for (auto& seed : settings.seeds)
        seed.port = port ? port : seed.port;
}

static void readPeerKey(SettingsReader& reader, Settings& settings, const std::string& file)
{
    std::string keyFile;
    reader.text("peer_key_file", keyFile, false);
    reader.text("peer_key", settings.peerKey, keyFile.empty());
    if (keyFile.empty() || reader.failed())
        return;
    const auto path = std::filesystem::path(file).parent_path() / keyFile;
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return reader.reportProblem("peer_key_file", "cannot read '" + path.string() + "'");
    std::getline(in, settings.peerKey);
}

static void readAll(SettingsReader& reader, Settings& settings, const std::string& file)
{
    reader.name("node", settings.node, true);
    reader.name("cluster", settings.cluster, true);
    reader.name("region", settings.region, false);
    reader.name("failure_domain", settings.failureDomain, true);
    reader.names("regions", settings.regions);
    reader.endpoint("http", settings.http, true);
    reader.endpoint("peer", settings.peer, true);
    readPeerKey(reader, settings, file);
    readSeeds(reader, settings);
    readForwarding(reader, settings);
    reader.text("data_folder", settings.dataFolder, false);
    readOperators(reader, settings);
    reader.digest("announce_token_sha256", settings.announceTokenSha256, true);
    reader.object("platform", [&](SettingsReader& item) {
        item.endpointText("address", settings.platform.address, true);
        item.boolean("checks_fencing", settings.platform.checksFencing);
    });
    reader.endpointText("weight_store", settings.weightStore, false);
    reader.object("tls", [&](SettingsReader& item) {
        item.text("certificate_file", settings.tls.certificateFile, true);
        item.text("key_file", settings.tls.keyFile, true);
    });
    readLimits(reader, settings.limits);
    readTimings(reader, settings.timings);
    reader.integer("ledger_groups", settings.ledgerGroups, 0, 64);
    reader.boolean("evacuations", settings.evacuations);
    reader.integer("queue_bytes", settings.queueBytes, 1 << 20, 1 << 30);
    reader.enumeration("log_level", settings.logLevel);
    reader.finish();
}

static void checkConsistency(SettingsReader& reader, const Settings& settings)
{
    if (settings.peerKey.size() < minKeyBytes || settings.peerKey.size() > maxKeyBytes)
        reader.reportProblem("peer_key", "has " + std::to_string(settings.peerKey.size()) + " bytes; allowed: 32 to 128");
    if (settings.timings.electionMin < settings.timings.heartbeat * 2)
        reader.reportProblem("timings.election_min_ms", "is below twice heartbeat_ms; allowed: at least " + std::to_string(settings.timings.heartbeat.value * 2));
    if (settings.timings.electionMax <= settings.timings.electionMin)
        reader.reportProblem("timings.election_max_ms", "is not above election_min_ms; allowed: more than " + std::to_string(settings.timings.electionMin.value));
    if (settings.http == settings.peer)
        reader.reportProblem("peer", "is the same address as http; allowed: another port");
}

Result<Settings> parseSettings(std::string_view text, const std::string& file)
{
    Settings settings;
    SettingsDocument document;
    if (const auto syntaxError = document.parse(text))
        return fail(ErrorCode::Invalid, Step::ReadSettings, file, *syntaxError);
    SettingsReader reader(document);
    readAll(reader, settings, file);
    if (!reader.failed())
        checkConsistency(reader, settings);
    if (reader.failed())
        return fail(ErrorCode::Invalid, Step::ReadSettings, file, reader.message());
    return settings;
}

Result<Settings> loadSettings(const std::string& file)
{
    std::ifstream in(file, std::ios::binary);
    if (!in)
        return fail(ErrorCode::NotFound, Step::ReadSettings, file, "cannot open the file; expected a readable JSON settings file");
    std::ostringstream text;
    text << in.rdbuf();
    if (text.str().size() > maxFileBytes)
        return fail(ErrorCode::TooLarge, Step::ReadSettings, file, "the file is larger than 1 MiB");
    return parseSettings(text.str(), file);
}

}
