#include "settings/Settings.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

static std::string settingsWith(const std::string& more)
{
    return "{ // a comment\n"
           "  \"node\": \"lhr-depot-1\", \"cluster\": \"punjab\", \"failure_domain\": \"lhr-depot\",\n"
           "  \"http\": \"127.0.1.1:8080\", \"peer\": \"127.0.1.1:7000\",\n"
           "  \"peer_key\": \"0123456789abcdef0123456789abcdef\",\n"
           "  \"announce_token_sha256\": \""
        + std::string(64, 'a') + "\"" + more + "\n}\n";
}

static std::string errorOf(const std::string& text)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(settings, parseSettings(text, "s.json"));
            return "node " + settings.node;
        },
        [](const Error& error) { return toString(error); });
}

// Guards against rejecting the documented minimal settings.
BOOST_AUTO_TEST_CASE(minimalSettingsAreAccepted)
{
    BOOST_TEST(errorOf(settingsWith("")) == "node lhr-depot-1");
    BOOST_TEST(errorOf(settingsWith(", \"timings\": { \"tick_ms\": 10 }")) == "node lhr-depot-1");
}

// Guards against silently ignoring misspelled or misplaced keys, and against messages without the key or allowed range.
BOOST_AUTO_TEST_CASE(problemsNameKeyAndRange)
{
    BOOST_TEST(errorOf(settingsWith(", \"sedes\": []")).starts_with("read_settings s.json: key 'sedes' is not known; allowed: "));
    BOOST_TEST(errorOf(settingsWith(", \"timings\": { \"tick_ms\": 0 }")) == "read_settings s.json: key 'timings.tick_ms' is 0; allowed: a whole number from 1 to 1000");
    BOOST_TEST(errorOf(settingsWith(", \"timings\": { \"tick_ms\": \"x\" }")) == "read_settings s.json: key 'timings.tick_ms' has the wrong type; allowed: a whole number from 1 to 1000");
    BOOST_TEST(errorOf(settingsWith(", \"seeds\": [\"localhost:1\"]")) == "read_settings s.json: key 'seeds' holds \"localhost:1\"; allowed: a list of IP:PORT");
    BOOST_TEST(errorOf(settingsWith(", \"operators\": [{ \"name\": \"a\" }]")) == "read_settings s.json: key 'operators[0].token_sha256' is missing; expected a string");
    BOOST_TEST(errorOf(settingsWith(", \"log_level\": \"loud\"")) == "read_settings s.json: key 'log_level' is 'loud'; allowed: debug, info, warning, error");
    BOOST_TEST(errorOf("{ \"node\": 1,\n  }}").starts_with("read_settings s.json: line 2, column 4"));
    BOOST_TEST(errorOf("{ }") == "read_settings s.json: key 'node' is missing; expected a string");
}

// Guards against treating a missing file as an empty one.
BOOST_AUTO_TEST_CASE(missingFileIsNamed)
{
    const auto text = handle(
        []() -> Result<std::string> {
            BOOST_LEAF_AUTO(settings, loadSettings("/nonexistent/s.json"));
            return settings.node;
        },
        [](const Error& error) { return toString(error); });
    BOOST_TEST(text == "read_settings /nonexistent/s.json: cannot open the file; expected a readable JSON settings file");
}

// Guards against losing forwarding settings or accepting invalid ones.
BOOST_AUTO_TEST_CASE(forwardingSettingsAreRead)
{
    const std::string more = R"(, "seeds": ["127.0.0.1:9001", "127.0.0.2:9002"], "seed_port": 7600, "ledger_groups": 0,
        "listeners": { "forward": "127.0.1.1:8221", "ready": "127.0.1.1:8224" }, "forward": { "retry_ratio": 0.2, "retry_extra": 54, "retry_window_ms": 10000, "allowance_slack": 110000 },
        "duties": { "address": "127.0.0.9:80", "usage": true, "lease_ms": 3000 }, "voters": { "found": true, "target": 5, "missing_ms": 6000 })";
    const auto settings = handle([&] { return parseSettings(settingsWith(more), "s.json"); }, [](const Error&) { return Settings {}; });
    BOOST_TEST((settings.seeds.size() == 2U && settings.seeds[0].port == 7600 && settings.seeds[1].port == 7600));
    BOOST_TEST((settings.listeners.forward.port == 8221 && settings.listeners.control.port == 0));
    BOOST_TEST((settings.forward.retryRatio == 0.2 && settings.forward.retryExtra == 54 && settings.forward.allowanceSlack == 110000));
    BOOST_TEST((settings.duties.usage && !settings.duties.scaling && settings.duties.lease == TimeMs { 3000 }));
    BOOST_TEST((settings.voters.bootstrap && settings.voters.target == 5U && settings.voters.missingTimeout == TimeMs { 6000 }));
    BOOST_TEST(errorOf(settingsWith(", \"forward\": { \"retry_ratio\": \"x\" }")) == "read_settings s.json: key 'forward.retry_ratio' has the wrong type; allowed: a number");
    BOOST_TEST(errorOf(settingsWith(", \"voters\": { \"target\": 9 }")) == "read_settings s.json: key 'voters.target' is 9; allowed: a whole number from 0 to 7");
}

// Guards against losing the capacity of a node, against treating an absent one as a value, and against impossible values.
BOOST_AUTO_TEST_CASE(capacityIsRead)
{
    const auto read = [](const std::string& more) {
        return handle([&] { return parseSettings(settingsWith(more), "s.json"); }, [](const Error&) { return Settings {}; }).capacity;
    };
    const auto both = read(R"(, "capacity": { "cpu_share": 0.12, "link_mbps": 10 })");
    BOOST_TEST((both.cpuShare == 0.12 && both.linkMbps == 10));
    const auto one = read(R"(, "capacity": { "cpu_share": 0.12, })");
    BOOST_TEST((one.cpuShare == 0.12 && one.linkMbps == 0));
    BOOST_TEST((read("").cpuShare == 0 && read(", \"capacity\": { }").linkMbps == 0));
    BOOST_TEST(errorOf(settingsWith(", \"capacity\": { \"cpu_share\": -1 }")).starts_with("read_settings s.json: key 'capacity.cpu_share' is "));
    BOOST_TEST(errorOf(settingsWith(", \"capacity\": { \"link\": 1 }")).starts_with("read_settings s.json: key 'capacity.link' is not known"));
}
