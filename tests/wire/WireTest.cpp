#include "wire/Codec.h"
#include "wire/Envelope.h"
#include "wire/FrameReader.h"
#include "wire/ReplayWindow.h"

#include "base/Random.h"

#include <boost/test/unit_test.hpp>

using namespace siskinshunt;

namespace {

struct Inner {
    std::string name;
    std::optional<TimeMs> at;
    bool flag = false;

    template <class Archive>
    void serialize(Archive& archive) { archive(name, at, flag); }
    bool operator==(const Inner&) const = default;
};

struct Sample {
    NodeId id;
    std::vector<Inner> inners;
    std::map<std::string, double> numbers;
    std::vector<uint64_t> sequence;
    DropReason reason = DropReason::None;

    template <class Archive>
    void serialize(Archive& archive) { archive(id, inners, numbers, sequence, reason); }
    bool operator==(const Sample&) const = default;
};

const MacKey key { "0123456789abcdef0123456789abcdef" };
constexpr uint64_t cluster = 77;

Sample sample()
{
    return { { 5 }, { { "a", 3_s, true }, { "bc", std::nullopt, false } }, { { "x", 1.5 } }, { 1, 2, 3 }, DropReason::Replay };
}

template <class T>
bool decodes(std::string_view bytes, size_t limit = 1 << 20)
{
    return handle([&]() -> Result<bool> { BOOST_LEAF_CHECK(decode<T>(bytes, limit)); return true; },
        [](const Error& error) {
            BOOST_TEST((error.step == Step::Decode));
            return false;
        });
}

Envelope message(uint64_t sequence, TimeMs sentAt = 1000_s, NodeId sender = { 9 })
{
    return { .cluster = cluster, .sender = sender, .group = { 2 }, .sentAt = sentAt, .sequence = sequence, .kind = 3, .body = "body" };
}

}

// Guards against a decoder that differs from cereal's portable binary format.
BOOST_AUTO_TEST_CASE(decodeInvertsEncode)
{
    const std::string bytes = encode(sample());
    const bool same = handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(value, decode<Sample>(bytes, bytes.size()));
            return value == sample();
        },
        [](const Error&) { return false; });
    BOOST_TEST(same);
}

// Guards against accepting truncated messages, trailing bytes or messages above the limit.
BOOST_AUTO_TEST_CASE(decodeRefusesEveryTruncationAndRest)
{
    const std::string bytes = encode(sample());
    for (size_t n = 0; n < bytes.size(); ++n)
        BOOST_TEST(!decodes<Sample>(std::string_view(bytes).substr(0, n)));
    BOOST_TEST(!decodes<Sample>(bytes + "x"));
    BOOST_TEST(!decodes<Sample>(bytes, bytes.size() - 1));
}

// Guards against a malicious length field that causes an allocation larger than the message.
BOOST_AUTO_TEST_CASE(decodeRefusesHostileLengths)
{
    for (uint64_t length : { UINT64_MAX, UINT64_C(1) << 40, UINT64_C(100) }) {
        std::string bytes(1, '\1');
        bytes.append(reinterpret_cast<const char*>(&length), sizeof(length));
        bytes.append(20, '\0');
        BOOST_TEST(!decodes<std::string>(bytes));
        BOOST_TEST(!decodes<std::vector<uint64_t>>(bytes));
        BOOST_TEST(!decodes<std::vector<Inner>>(bytes));
        BOOST_TEST(!(decodes<std::map<std::string, double>>(bytes)));
    }
}

// Guards against decoder crashes on corrupted input; the sanitizer build detects invalid memory accesses.
BOOST_AUTO_TEST_CASE(decodeSurvivesFlippedBytes)
{
    Random random(11);
    const std::string bytes = encode(sample());
    for (int n = 0; n < 20000; ++n) {
        std::string damaged = bytes;
        for (uint64_t k = 0; k <= random.below(3); ++k)
            damaged[random.below(damaged.size())] = static_cast<char>(random.below(256));
        (void)decodes<Sample>(damaged);
    }
}

// Guards against forged, resized or foreign envelopes: every flipped bit must be detected and reported with the right
// reason.
BOOST_AUTO_TEST_CASE(openDropsForgedEnvelopes)
{
    const std::string bytes = seal(key, message(1));
    const OpenResult good = open(key, cluster, bytes, maxDatagram);
    BOOST_TEST((good.reason == DropReason::None));
    BOOST_TEST(good.envelope.body == "body");
    BOOST_TEST(good.envelope.sequence == 1U);
    for (size_t n = 0; n < bytes.size() * 8; ++n) {
        std::string forged = bytes;
        forged[n / 8] = static_cast<char>(forged[n / 8] ^ (1 << n % 8));
        const auto expected = n < 8 ? DropReason::BadVersion : n >= 16 && n < 80 ? DropReason::BadCluster
                                                                                 : DropReason::BadMac;
        BOOST_TEST((open(key, cluster, forged, maxDatagram).reason == expected));
    }
    BOOST_TEST((open({ "another key, 16+" }, cluster, bytes, maxDatagram).reason == DropReason::BadMac));
    BOOST_TEST((open(key, cluster, bytes, bytes.size() - 1).reason == DropReason::BadSize));
    BOOST_TEST((open(key, cluster, bytes.substr(0, envelopeOverhead - 1), maxDatagram).reason == DropReason::BadSize));
}

// Guards against accepting a duplicate datagram and against dropping reordered ones.
BOOST_AUTO_TEST_CASE(replayWindowPassesEachSequenceOnce)
{
    ReplayWindow window;
    const auto accept = [&](uint64_t sequence) { return window.accept(1000_s, message(sequence)); };
    for (uint64_t sequence : { 2000U, 2005U, 2003U, 2001U, 3020U, 2004U })
        BOOST_TEST((accept(sequence) == DropReason::None));
    for (uint64_t sequence : { 2000U, 2005U, 2003U, 3020U, 2004U, 1U })
        BOOST_TEST((accept(sequence) == DropReason::Replay));
    BOOST_TEST((accept(1000000) == DropReason::None));
    BOOST_TEST((accept(3021) == DropReason::Replay));
}

// Guards against replay of captured messages after a process restart and against unbounded growth of the sender table.
BOOST_AUTO_TEST_CASE(replayWindowBoundsTimeAndSenders)
{
    ReplayWindow window({ .window = 30_s, .maxSenders = 4 });
    BOOST_TEST((window.accept(1000_s, message(1, 969_s)) == DropReason::Stale));
    BOOST_TEST((window.accept(1000_s, message(1, 1031_s)) == DropReason::Stale));
    for (uint64_t n = 1; n <= 8; ++n)
        BOOST_TEST((window.accept(1000_s, message(1, 990_s + TimeMs { static_cast<int64_t>(n) }, { n })) == DropReason::None));
    BOOST_TEST(window.senders() == 4U);
    // Sender 1 has been evicted; its captured message must be rejected.
    BOOST_TEST((window.accept(1000_s, message(1, 990_s + 1_ms, { 1 })) == DropReason::Replay));
    BOOST_TEST((window.accept(1000_s, message(2, 1000_s, { 1 })) == DropReason::None));
}

// Guards against wrong frame boundaries when TCP delivers partial or several frames at once.
BOOST_AUTO_TEST_CASE(frameReaderCutsAnyChunks)
{
    Random random(3);
    std::string stream;
    std::vector<std::string> sent;
    for (int n = 0; n < 200; ++n) {
        sent.emplace_back(1 + random.below(300), static_cast<char>('a' + n % 26));
        stream += encodeFrame(sent.back());
    }
    FrameReader reader(300);
    std::vector<std::string> got;
    for (size_t at = 0; at < stream.size();) {
        const size_t size = std::min<size_t>(1 + random.below(700), stream.size() - at);
        BOOST_TEST(reader.feed(std::string_view(stream).substr(at, size)));
        while (auto frame = reader.next())
            got.push_back(*frame);
        at += size;
    }
    BOOST_TEST(got == sent, boost::test_tools::per_element());
}

// Guards against a length field of zero or above the limit, which would stall the reader or exhaust its memory.
BOOST_AUTO_TEST_CASE(frameReaderRefusesBadLengths)
{
    FrameReader large(100);
    BOOST_TEST(!large.feed(encodeFrame(std::string(101, 'x'))));
    FrameReader empty(100);
    BOOST_TEST(!empty.feed(std::string(4, '\0')));
    FrameReader second(100);
    BOOST_TEST(second.feed(encodeFrame("fine") + std::string(4, '\xff')));
    BOOST_TEST(second.next().value() == "fine");
    BOOST_TEST(!second.next().has_value());
    BOOST_TEST(second.broken());
    BOOST_TEST(!second.feed("more"));
}
