#include "storage/FakeDisk.h"

#include <algorithm>

namespace siskinshunt {

Result<void> FakeDisk::append(const std::string& name, std::string_view bytes)
{
    auto& file = m_names[name];
    if (!file)
        file = std::make_shared<File>();
    const size_t n = std::min(bytes.size(), m_freeBytes);
    file->bytes.append(bytes.substr(0, n));
    if (m_freeBytes != SIZE_MAX)
        m_freeBytes -= n;
    if (n < bytes.size())
        return fail(ErrorCode::Io, Step::Append, name, "write: No space left on device");
    return {};
}

Result<void> FakeDisk::sync(const std::string& name)
{
    if (m_syncsUntilFailure && --m_syncsUntilFailure == 0)
        return fail(ErrorCode::Io, Step::Sync, name, "fdatasync: Input/output error");
    ++m_syncs;
    if (auto it = m_names.find(name); it != m_names.end())
        it->second->synced = it->second->bytes.size();
    return {};
}

Result<void> FakeDisk::syncDirectory()
{
    m_durableNames = m_names;
    return {};
}

Result<std::string> FakeDisk::read(const std::string& name)
{
    auto it = m_names.find(name);
    if (it == m_names.end())
        return fail(ErrorCode::NotFound, Step::Recover, name, "open: No such file or directory");
    return it->second->bytes;
}

Result<std::vector<std::string>> FakeDisk::list()
{
    std::vector<std::string> names;
    for (const auto& [name, file] : m_names)
        names.push_back(name);
    return names;
}

Result<void> FakeDisk::remove(const std::string& name)
{
    if (!m_names.erase(name))
        return fail(ErrorCode::NotFound, Step::Append, name, "unlink: No such file or directory");
    return {};
}

Result<void> FakeDisk::rename(const std::string& from, const std::string& to)
{
    auto it = m_names.find(from);
    if (it == m_names.end())
        return fail(ErrorCode::NotFound, Step::Append, from, "rename: No such file or directory");
    m_names[to] = it->second;
    m_names.erase(from);
    return {};
}

bool FakeDisk::tearTail(File& file, Random& random)
{
    const size_t unsynced = file.bytes.size() - file.synced;
    if (!unsynced)
        return false;
    if (random.chance(0.5)) {
        file.bytes.resize(file.synced + random.below(unsynced + 1));
    } else {
        // The file size became durable before some of the data blocks.
        constexpr size_t block = 512;
        for (size_t blockBegin = file.synced; blockBegin < file.bytes.size(); blockBegin = (blockBegin / block + 1) * block) {
            const size_t end = std::min((blockBegin / block + 1) * block, file.bytes.size());
            if (random.chance(0.5))
                std::fill(file.bytes.begin() + static_cast<ptrdiff_t>(blockBegin), file.bytes.begin() + static_cast<ptrdiff_t>(end), '\0');
        }
    }
    file.synced = file.bytes.size();
    return true;
}

bool FakeDisk::crash(Random& random)
{
    Names names = m_durableNames;
    for (const auto& [name, file] : m_names) {
        auto it = m_durableNames.find(name);
        if ((it == m_durableNames.end() || it->second != file) && random.chance(0.5))
            names[name] = file;
    }
    for (const auto& [name, file] : m_durableNames) {
        if (!m_names.contains(name) && random.chance(0.5))
            names.erase(name);
    }
    bool torn = false;
    for (const auto& [name, file] : names)
        torn = tearTail(*file, random) || torn;
    m_names = m_durableNames = names;
    return torn;
}

void FakeDisk::crashDiscardingUnsynced()
{
    for (auto& [name, file] : m_durableNames)
        file->bytes.resize(file->synced);
    m_names = m_durableNames;
}

void FakeDisk::corrupt(const std::string& name, size_t offset)
{
    m_names.at(name)->bytes.at(offset) ^= 0x10;
}

size_t FakeDisk::size(const std::string& name) const
{
    auto it = m_names.find(name);
    return it == m_names.end() ? 0 : it->second->bytes.size();
}

}
