#pragma once

#include "base/Random.h"
#include "storage/Disk.h"

#include <map>
#include <memory>

namespace siskinshunt {

/// In-memory disk for tests. Simulates the loss of unsynced data at a crash, and injects failures.
class FakeDisk final : public Disk {
public:
    Result<void> append(const std::string& name, std::string_view bytes) override;
    Result<void> sync(const std::string& name) override;
    Result<void> syncDirectory() override;
    Result<std::string> read(const std::string& name) override;
    Result<std::vector<std::string>> list() override;
    Result<void> remove(const std::string& name) override;
    Result<void> rename(const std::string& from, const std::string& to) override;

    /// Simulates a power loss. Keeps all synced data and a random part of the rest: a truncated tail, a tail with blocks of
    /// zeros, creations and removals of files. Returns whether a tail was torn.
    bool crash(Random&);
    /// Simulates a power loss that discards all unsynced data.
    void crashDiscardingUnsynced();
    /// Flips one bit of the byte at the offset.
    void corrupt(const std::string& name, size_t offset);
    /// Sets how many bytes can still be appended. The append that exceeds them is written in part and fails.
    void setFreeBytes(size_t n) { m_freeBytes = n; }
    /// Makes the nth sync from now fail, 1 being the next; 0 disables the failure.
    void failSyncAfter(int n) { m_syncsUntilFailure = n; }
    uint64_t syncs() const { return m_syncs; }
    size_t size(const std::string& name) const;

private:
    struct File {
        std::string bytes;
        size_t synced = 0;
    };
    using Names = std::map<std::string, std::shared_ptr<File>>;

    static bool tearTail(File&, Random&);

    Names m_names;
    Names m_durableNames;
    size_t m_freeBytes = SIZE_MAX;
    int m_syncsUntilFailure = 0;
    uint64_t m_syncs = 0;
};

}
