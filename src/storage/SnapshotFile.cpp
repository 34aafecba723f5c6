#include "storage/SnapshotFile.h"

#include "base/Hash.h"

#include <cereal/archives/portable_binary.hpp>
#include <sstream>

namespace siskinshunt {

static constexpr uint64_t magic = 0x1d8f60c2a94be735;
static constexpr size_t maxFileBytes = size_t(1) << 30;

std::string snapshotFileName(GroupId group, uint64_t index)
{
    return "snapshot-" + std::to_string(group.value) + "-" + std::to_string(index);
}

std::string encodeSnapshotFile(const SnapshotFile& file)
{
    std::ostringstream stream;
    {
        cereal::PortableBinaryOutputArchive archive(stream);
        const auto& bytes = *file.snapshot.bytes;
        archive(magic, file.cluster, file.group, file.snapshot.meta, static_cast<uint32_t>(bytes.size()));
        archive(cereal::binary_data(bytes.data(), bytes.size()));
    }
    std::string out = std::move(stream).str();
    const uint64_t checksum = hash64(out);
    for (int shift = 0; shift < 64; shift += 8)
        out.push_back(static_cast<char>(checksum >> shift));
    return out;
}

static bool checksumMatches(std::string_view bytes)
{
    if (bytes.size() < 8)
        return false;
    uint64_t checksum = 0;
    for (size_t n = 0; n < 8; ++n)
        checksum |= static_cast<uint64_t>(static_cast<unsigned char>(bytes[bytes.size() - 8 + n])) << (8 * n);
    return checksum == hash64(bytes.substr(0, bytes.size() - 8));
}

Result<SnapshotFile> decodeSnapshotFile(const std::string& name, std::string_view bytes)
{
    const auto corruptError = [&] {
        return fail(ErrorCode::Corrupt, Step::Recover, name, "the snapshot is damaged; this voter must be replaced");
    };
    if (!checksumMatches(bytes))
        return corruptError();
    try {
        std::istringstream stream { std::string(bytes.substr(0, bytes.size() - 8)) };
        cereal::PortableBinaryInputArchive archive(stream);
        SnapshotFile file;
        std::string content;
        uint64_t storedMagic = 0;
        archive(storedMagic, file.cluster, file.group, file.snapshot.meta);
        serializeBytes(archive, content, maxFileBytes);
        if (storedMagic != magic)
            return corruptError();
        file.snapshot.bytes = std::make_shared<const std::string>(std::move(content));
        return file;
    } catch (const std::exception&) {
        return corruptError();
    }
}

}
