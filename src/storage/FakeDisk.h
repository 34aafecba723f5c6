#pragma once

#include "base/Random.h"
#include "storage/Disk.h"

#include <map>
#include <memory>

namespace siskinshunt {

/// A disk in memory for tests: it loses what was not synced when it crashes, and fails on request.
class FakeDisk final : public Disk {
public:
    Result<void> append(const std::string& name, std::string_view bytes) override;
    Result<void> sync(const std::string& name) override;
    Result<void> syncDirectory() override;
    Result<std::string> read(const std::string& name) override;
    Result<std::vector<std::string>> list() override;
    Result<void> remove(const std::string& name) override;
    Result<void> rename(const std::string& from, const std::string& to) override;

    /// Power loss: keeps what was synced and, at random, parts of the rest: a shorter tail, a tail with blocks of zeros,
    /// new names, removals. Returns whether a tail was torn.
    bool crash(Random&);
    /// Power loss that loses everything that was not synced.
    void crashDiscardingUnsynced();
    /// Flips one bit of the byte.
    void corrupt(const std::string& name, size_t offset);
    /// Bytes that can still be appended; the append that exceeds them writes a part and fails.
    void setFreeBytes(size_t n) { m_free = n; }
    /// Sync number n from now fails, 1 being the next; 0 for none.
    void failSyncAfter(int n) { m_failSync = n; }
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
    size_t m_free = SIZE_MAX;
    int m_failSync = 0;
    uint64_t m_syncs = 0;
};

}
