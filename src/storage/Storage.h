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
    uint64_t cluster = 0; ///< hash64 of the cluster id; a snapshot of another cluster is refused.
    size_t segmentBytes = 4 << 20; ///< A segment is closed when it exceeds this size.
    size_t maxSegments = 8; ///< Above this, write() names the groups that hold back the oldest segment.
};

/// What a write did.
struct WriteReport {
    size_t bytes = 0; ///< Bytes appended to the log.
    size_t segments = 0;
    std::vector<GroupId> pinning; ///< Groups that should take a snapshot so that old segments can be dropped.
};

/// The durable state of all groups of one data folder: one segmented log that the groups share, so that one sync covers
/// the appends of all of them, and one snapshot file per group. Used by one thread at a time.
class Storage {
public:
    /// Reads the whole folder. Cuts a torn tail and reports it in log(). Fails with Corrupt and a message that names
    /// the file and the offset if anything that had been synced is damaged.
    static Result<std::unique_ptr<Storage>> open(Disk&, const StorageOptions&);

    /// The groups found, to be taken once.
    std::map<GroupId, GroupState> takeRecovered() { return std::move(m_recovered); }
    const std::vector<LogRecord>& log() const { return m_log; }

    /// Makes all the requests durable: snapshot files first, then one append and one sync for everything else. After a
    /// failure every further write fails, because what the disk holds is no longer known; a restart reads it again.
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
    Result<void> cutTail(const std::string& name, std::string_view file, size_t offset);
    Result<void> replay(const StoredRecord&, Segment&);
    Result<void> finishGroup(GroupId, GroupState&);
    Result<void> writeSnapshots(std::span<const DiskRequest>);
    Batch makeBatch(std::span<const DiskRequest>, bool fresh) const;
    Result<void> writeBatch(std::span<const DiskRequest>, WriteReport&);
    Result<void> dropSegments();
    bool isSuperseded(const Segment&) const;

    Disk& m_disk;
    StorageOptions m_options;
    std::map<GroupId, GroupState> m_recovered;
    std::vector<LogRecord> m_log;
    std::vector<Segment> m_segments; ///< Oldest first; the last one is appended to once m_open is set.
    std::map<GroupId, HardState> m_hardStates; ///< Repeated at the head of each segment.
    std::map<GroupId, SnapshotMeta> m_snapshots;
    std::set<GroupId> m_resetOnOpen; ///< Their stored entries are older than the snapshot or contradict it.
    uint64_t m_sequence = 0; ///< Of the last batch.
    size_t m_segmentSize = 0;
    bool m_open = false; ///< The last segment takes appends.
    bool m_failed = false;
};

}
