#include "storage/Batch.h"

#include "base/Hash.h"

#include <algorithm>
#include <cereal/archives/portable_binary.hpp>
#include <cstring>
#include <sstream>

namespace siskinshunt {

static constexpr uint64_t magic = 0x7a3c91e55b1fd268;
static constexpr size_t headerBytes = 32;
static constexpr size_t trailerBytes = 8;
static constexpr size_t blockBytes = 512;

static void appendUint64(std::string& out, uint64_t value)
{
    for (int shift = 0; shift < 64; shift += 8)
        out.push_back(static_cast<char>(value >> shift));
}

static uint64_t readUint64(std::string_view bytes, size_t offset)
{
    uint64_t value = 0;
    for (size_t n = 0; n < 8; ++n)
        value |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[offset + n])) << (8 * n);
    return value;
}

std::string encodeBatch(const Batch& batch)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        archive(static_cast<uint32_t>(batch.records.size()));
        for (const auto& record : batch.records)
            archive(record);
    }
    const std::string payload = std::move(stream).str();
    std::string out;
    out.reserve(headerBytes + payload.size() + trailerBytes);
    appendUint64(out, magic);
    appendUint64(out, batch.sequence);
    appendUint64(out, payload.size());
    appendUint64(out, hash64(out));
    out += payload;
    appendUint64(out, hash64(payload, batch.sequence));
    return out;
}

static bool isHeaderValid(std::string_view file, size_t offset)
{
    if (file.size() - offset < headerBytes || readUint64(file, offset) != magic)
        return false;
    return readUint64(file, offset + 24) == hash64(file.substr(offset, 24));
}

static bool decodeRecords(std::string_view payload, std::vector<StoredRecord>& records)
{
    try {
        std::istringstream stream { std::string(payload) };
        cereal::PortableBinaryInputArchive archive(stream);
        uint32_t n = 0;
        archive(n);
        for (; n; --n)
            archive(records.emplace_back());
        return true;
    } catch (const cereal::Exception&) {
        return false;
    }
}

/// Whether a disk block in the range contains only zeros, as after a write of which some blocks did not reach the disk.
static bool hasZeroBlock(std::string_view file, size_t begin, size_t end)
{
    while (begin < end) {
        const size_t next = std::min(end, (begin / blockBytes + 1) * blockBytes);
        const auto block = file.substr(begin, next - begin);
        if (std::all_of(block.begin(), block.end(), [](char c) { return c == 0; }))
            return true;
        begin = next;
    }
    return false;
}

/// Whether a batch with a higher sequence follows. It is written only after the sync of the preceding batch, so that one
/// cannot be torn.
static bool isFollowedByLaterBatch(std::string_view file, size_t offset, uint64_t expected)
{
    std::string magicBytes;
    appendUint64(magicBytes, magic);
    for (size_t at = file.find(magicBytes, offset); at != std::string_view::npos; at = file.find(magicBytes, at + 1)) {
        if (isHeaderValid(file, at) && readUint64(file, at + 8) > expected)
            return true;
    }
    return false;
}

static BatchState classifyInvalidBatch(std::string_view file, size_t offset, size_t size, uint64_t expected)
{
    if (isFollowedByLaterBatch(file, offset + 1, expected))
        return BatchState::Corrupt;
    const bool truncated = file.size() - offset < size;
    if (truncated || hasZeroBlock(file, offset, size == headerBytes ? file.size() : offset + size))
        return BatchState::Torn;
    return BatchState::Corrupt;
}

BatchReadResult readBatch(std::string_view file, size_t offset, uint64_t expected)
{
    BatchReadResult out;
    if (!isHeaderValid(file, offset)) {
        out.state = classifyInvalidBatch(file, offset, headerBytes, expected);
        return out;
    }
    out.batch.sequence = readUint64(file, offset + 8);
    const uint64_t length = readUint64(file, offset + 16);
    const bool complete = length <= file.size() && file.size() - offset >= headerBytes + length + trailerBytes;
    const size_t size = complete ? headerBytes + length + trailerBytes : SIZE_MAX;
    const bool intact = complete && readUint64(file, offset + size - trailerBytes) == hash64(file.substr(offset + headerBytes, length), out.batch.sequence);
    if (!intact) {
        out.state = classifyInvalidBatch(file, offset, size, out.batch.sequence);
        return out;
    }
    const bool inOrder = !expected || out.batch.sequence == expected;
    const bool decoded = decodeRecords(file.substr(offset + headerBytes, length), out.batch.records);
    out.state = inOrder && decoded ? BatchState::Valid : BatchState::Corrupt;
    out.size = size;
    return out;
}

}
