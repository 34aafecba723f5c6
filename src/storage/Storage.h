#pragma once

#include "base/LogRecord.h"
#include "storage/Batch.h"
#include "storage/Disk.h"
#include "storage/GroupState.h"

#include <map>
#include <memory>
#include <set>
#include <span>

namespace siskinshunt {

struct StorageOptions {
    uint64_t cluster = 0; ///< hash64 of the cluster id; snapshots of another cluster are rejected.
    size_t segmentBytes = 4 << 20; ///< A new segment is started once the last one exceeds this size.
    size_t maxSegments = 8; ///< Above this, write() reports the groups that prevent removal of the oldest segment.
};

/// Result of a write.
struct WriteReport {
    size_t bytes = 0; ///< Bytes appended to the log.
    size_t segments = 0; ///< Segments on disk.
    std::vector<GroupId> pinning; ///< Groups that should take a snapshot so that old segments can be removed.
};

/// Durable state of all groups of one data folder: one snapshot file per group, and one segmented log shared by the groups,
/// so that one sync covers the appends of all of them. Not thread-safe.
class Storage {
public:
    /// Recovers the state from the folder. Truncates a torn tail and reports it in log(). Fails with Corrupt and a message
    /// that names the file, and in the log the offset, if synced data is damaged.
    static Result<std::unique_ptr<Storage>> open(Disk&, const StorageOptions&);

    /// Moves the recovered groups to the caller; call once.
    std::map<GroupId, GroupState> takeRecovered() { return std::move(m_recovered); }
    const std::vector<LogRecord>& log() const { return m_log; }

    /// Makes all requests durable: first the snapshot files, then everything else with one append and one sync. After a
    /// failure every further write fails, because the content of the disk is unknown until a restart recovers it.
    Result<WriteReport> write(std::span<const DiskRequest>);

private:
    struct Segment {
        uint64_t number = 0;
        std::map<GroupId, uint64_t> maxIndex;
    };

    Storage(Disk&, const StorageOptions&);
    Result<void> recover();
    Result<void> readSnapshot(const std::string& name);
    Result<void> readSegment(const std::string& name, bool last);
    Result<void> truncateTornTail(const std::string& name, std::string_view file, size_t offset);
    Result<void> replay(const StoredRecord&, Segment&);
    Result<void> reconcileWithSnapshot(GroupId, GroupState&);
    Result<void> writeSnapshots(std::span<const DiskRequest>);
    Batch makeBatch(std::span<const DiskRequest>, bool newSegment) const;
    Result<void> writeBatch(std::span<const DiskRequest>, WriteReport&);
    Result<void> removeSupersededSegments();
    bool isSuperseded(const Segment&) const;

    Disk& m_disk;
    StorageOptions m_options;
    std::map<GroupId, GroupState> m_recovered;
    std::vector<LogRecord> m_log;
    std::vector<Segment> m_segments; ///< Oldest first; the last one accepts appends once m_segmentOpen is set.
    std::map<GroupId, HardState> m_hardStates; ///< Rewritten at the start of each segment.
    std::map<GroupId, SnapshotMeta> m_snapshots;
    std::set<GroupId> m_pendingResets; ///< Groups whose stored entries are older than the snapshot or conflict with it.
    uint64_t m_sequence = 0; ///< Sequence of the last batch.
    size_t m_segmentSize = 0;
    bool m_segmentOpen = false; ///< The last segment was started by this process and accepts appends.
    bool m_failed = false;
};

}
