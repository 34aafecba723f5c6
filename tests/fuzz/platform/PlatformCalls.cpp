#include "../Fuzz.h"
#include "base/Hash.h"
#include "entry/UpstreamClient.h"
#include "membership/Membership.h"
#include "platform/PlatformDialect.h"
#include "rules/RuleParser.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address_v4.hpp>

using namespace siskinshunt;

static constexpr TimeMs utcBase { INT64_C(1760000000000) };

// An accepted address is one that the sockets read too. A node must also bear one that is not: an earlier build may have spread it.
static void checkAddress(const std::string& address)
{
    boost::asio::io_context context { 1 };
    if (const auto endpoint = parseEndpoint(address)) {
        boost::system::error_code ec;
        boost::asio::ip::make_address_v4(endpoint->ip, ec);
        INVARIANT(!ec, "an accepted address is one of the sockets", "address", address);
        return;
    }
    UpstreamClient client(context, {}, [](const UpstreamEvent&) {});
    client.dispatch({ .dispatch = 1, .address = address, .request = { "POST", "/x", {}, "b" } });
}

static void check(const AnnounceCall& call)
{
    const auto& announced = call.announcement;
    INVARIANT(parseEndpoint(announced.address), "an accepted registration has an address", "address", announced.address);
    checkAddress(announced.address);
    INVARIANT(!announced.model.empty() && !announced.domain.empty() && !announced.version.empty(), "an accepted registration has all fields", "name", announced.name);
    INVARIANT(!call.coldRemaining || (*call.coldRemaining >= TimeMs {} && utcBase + *call.coldRemaining < farFuture), "a duration does not overflow the clock", "ms", call.coldRemaining->value);
    INVARIANT(!announced.reclaimIn || (*announced.reclaimIn >= TimeMs {} && utcBase + *announced.reclaimIn < farFuture), "a duration does not overflow the clock", "ms", announced.reclaimIn->value);
    MembershipOptions options;
    options.identity = { "fuzzed", "10.0.0.1:7400", "10.0.0.1:7401", "10.0.0.1:7402", "domain" };
    options.key = { "a key for tests that is 32 bytes" };
    options.startedAtUtc = utcBase;
    auto member = makeMembership(options, 1000_ms);
    MembershipOutputs out;
    announce(member, 1000_ms, announced, out);
    tick(member, 1020_ms, out);
}

static void check(const OrderVersionCall& call)
{
    INVARIANT(call.within > TimeMs {} && utcBase + call.within < farFuture, "a time limit does not overflow the clock", "ms", call.within.value);
}

static void check(const PutConfigurationCall& call)
{
    parseRules(call.rules);
}

template <class Call>
static void check(const Call&)
{
}

// Guards against calls of the platform that end a process, here or where a value of them is used. The first line of an input is the
// method and the path, the rest is the body.
void fuzzOne(std::string_view input)
{
    const auto line = input.substr(0, input.find('\n'));
    const auto space = line.find(' ');
    const std::string body(input.substr(std::min(input.size(), line.size() + 1)));
    if (space == std::string_view::npos)
        return checkAddress(std::string(line));
    static const auto s_dialect = makePlatformDialect();
    const auto call = s_dialect->decode({ std::string(line.substr(0, space)), std::string(line.substr(space + 1)), {}, body }, "10.0.0.9:4000");
    std::visit([](const auto& it) { check(it); }, call);
}
