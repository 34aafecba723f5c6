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

// Guards against a map of regions that is read wrongly, and against entries that are dropped without an error, which would leave their domain outside every
// region.
BOOST_AUTO_TEST_CASE(regionsOfDomainsAreRead)
{
    const auto settings = handle([&] { return parseSettings(settingsWith(", \"regions\": { \"lhr-depot\": \"pk-punjab\", \"jhb-north\": \"za-gauteng\" }"), "s.json"); }, [](const Error&) { return Settings {}; });
    BOOST_TEST((settings.regions.size() == 2U && settings.regions.at("lhr-depot") == "pk-punjab" && settings.regions.at("jhb-north") == "za-gauteng"));
    BOOST_TEST(errorOf(settingsWith(", \"regions\": {}")) == "node lhr-depot-1");
    BOOST_TEST(errorOf(settingsWith(", \"regions\": null")) == "node lhr-depot-1");
    BOOST_TEST(errorOf(settingsWith(", \"regions\": [\"a\"]")) == "read_settings s.json: key 'regions' has the wrong type; allowed: an object of names");
    for (const char* entry : { "\"a\": 7", "\"a\": \"\"", "\"\": \"r\"", "\"a\": \"r 1\"", "\"a b\": \"r\"", "\"a\": null", "\"a\": { \"region\": \"r\" }" })
        BOOST_TEST(errorOf(settingsWith(std::string(", \"regions\": { ") + entry + " }")).starts_with("read_settings s.json: key 'regions' holds "), entry);
}

// Guards against addresses that are accepted here and refused by the sockets: inet_pton() refuses padded numbers, and a C string ends
// at its first zero byte.
BOOST_AUTO_TEST_CASE(endpointsAreReadAsTheSocketsReadThem)
{
    BOOST_TEST(toString(parseEndpoint("127.0.0.1:8080").value_or(Endpoint {})) == "127.0.0.1:8080");
    BOOST_TEST(toString(parseEndpoint("10.0.0.0:1").value_or(Endpoint {})) == "10.0.0.0:1");
    for (const std::string_view text : { "127.032.002.009:8080", "01.0.0.1:80", "127.0.0.00:80", "127.0.0:80", "127.0.0.1.1:80", "127.0.0.256:80", "127.0.0.-1:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:65536", "127.0.0.1:+80", ":80", "", "[::1]:80", " 127.0.0.1:80" })
        BOOST_TEST(!parseEndpoint(text), text);
    BOOST_TEST(!parseEndpoint(std::string_view("127.0.0.1\0.9:80", 15)));
}
