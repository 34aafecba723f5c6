#include "Fuzz.h"
#include "membership/Membership.h"
#include "membership/Messages.h"
#include "wire/FrameReader.h"

using namespace siskinshunt;

static constexpr uint64_t cluster = 42;
static constexpr TimeMs utcBase { INT64_C(1760000000000) };

static Membership member(const std::string& name)
{
    MembershipOptions options;
    options.identity = { name, "10.0.0.1:7400", "10.0.0.1:7401", "10.0.0.1:7402", "domain" };
    options.cluster = cluster;
    options.key = { "a key for tests that is 32 bytes" };
    options.startedAtUtc = utcBase;
    auto out = makeMembership(options, 1000_ms);
    out.utcOffset = utcBase;
    return out;
}

static NodeId senderOf(std::string_view body)
{
    return handle(
        [&]() -> Result<NodeId> {
            BOOST_LEAF_AUTO(message, decode<GossipMessage>(body, maxDatagram));
            return message.sender.id;
        },
        [](const Error&) { return NodeId { 7 }; });
}

static void readFrames(const MacKey& key, std::string_view bytes)
{
    FrameReader reader;
    if (!reader.feed(bytes))
        return;
    while (const auto frame = reader.next())
        open(key, cluster, *frame, maxFrame);
}

/// Delivers one authentic message of the given kind and checks the size of the datagrams that it causes.
static void deliverMessage(Membership& m, TimeMs now, uint64_t sequence, uint8_t kind, std::string_view body)
{
    MembershipOutputs out;
    if (kind % 5 >= 3) {
        receiveTableFrame(m, now, NodeId { 7 }, kind % 5 == 3 ? TableFrameKind::TableDigest : TableFrameKind::TableRecords, body, out);
    } else {
        const Envelope envelope { .cluster = cluster, .sender = senderOf(body), .group = {}, .sentAt = utcBase + now, .sequence = sequence, .kind = static_cast<uint8_t>(1 + kind % 5), .body = std::string(body) };
        receive(m, now, "10.0.0.2:7400", seal(m.options.key, envelope), out);
    }
    tick(m, now + 20_ms, out);
    for (const auto& it : out.datagrams)
        INVARIANT(it.bytes.size() <= maxDatagram, "a datagram fits its limit", "bytes", it.bytes.size());
}

// Guards against authentic messages that crash a node or make it exceed a limit, and against arbitrary bytes. The input is
// a sequence of messages, each with its kind, length and body.
void fuzzOne(std::string_view input)
{
    auto m = member("fuzzed");
    MembershipOutputs out;
    receive(m, 1000_ms, "10.0.0.2:7400", input, out);
    readFrames(m.options.key, input);
    uint64_t sequence = firstSequence(utcBase) + 1;
    for (TimeMs now { 1000 }; input.size() >= 3; now += 100_ms) {
        const auto kind = static_cast<uint8_t>(input[0]);
        const size_t length = static_cast<uint8_t>(input[1]) * 256U + static_cast<uint8_t>(input[2]);
        input.remove_prefix(3);
        deliverMessage(m, now, ++sequence, kind, input.substr(0, length));
        input.remove_prefix(std::min(length, input.size()));
    }
}
