#include "wire/Envelope.h"

#include <cstring>

namespace siskinshunt {

static void appendNumber(std::string& out, uint64_t value)
{
    std::array<char, 8> bytes {};
    for (size_t n = 0; n < bytes.size(); ++n)
        bytes[n] = static_cast<char>(value >> (8 * n));
    out.append(bytes.data(), bytes.size());
}

static uint64_t readNumber(std::string_view bytes, size_t offset)
{
    uint64_t value = 0;
    for (size_t n = 0; n < 8; ++n)
        value |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[offset + n])) << (8 * n);
    return value;
}

std::string seal(const MacKey& key, const Envelope& envelope)
{
    std::string out;
    out.reserve(envelopeOverhead + envelope.body.size());
    out.push_back(static_cast<char>(wireVersion));
    out.push_back(static_cast<char>(envelope.kind));
    appendNumber(out, envelope.cluster);
    appendNumber(out, envelope.sender.value);
    appendNumber(out, envelope.group.value);
    appendNumber(out, static_cast<uint64_t>(envelope.sentAt.value));
    appendNumber(out, envelope.sequence);
    out += envelope.body;
    const Mac mac = computeMac(key, out);
    out.append(mac.data(), mac.size());
    return out;
}

OpenResult open(const MacKey& key, uint64_t cluster, std::string_view bytes, size_t limit)
{
    if (bytes.size() < envelopeOverhead || bytes.size() > limit)
        return { DropReason::BadSize, {} };
    if (static_cast<uint8_t>(bytes[0]) != wireVersion)
        return { DropReason::BadVersion, {} };
    if (readNumber(bytes, 2) != cluster)
        return { DropReason::BadCluster, {} };
    const size_t macSize = std::tuple_size_v<Mac>;
    const auto covered = bytes.substr(0, bytes.size() - macSize);
    if (!verifyMac(key, covered, bytes.substr(covered.size())))
        return { DropReason::BadMac, {} };
    Envelope envelope;
    envelope.kind = static_cast<uint8_t>(bytes[1]);
    envelope.cluster = cluster;
    envelope.sender = { readNumber(bytes, 10) };
    envelope.group = { readNumber(bytes, 18) };
    envelope.sentAt = { static_cast<int64_t>(readNumber(bytes, 26)) };
    envelope.sequence = readNumber(bytes, 34);
    envelope.body = covered.substr(42);
    return { envelope.sender ? DropReason::None : DropReason::BadSender, std::move(envelope) };
}

}
