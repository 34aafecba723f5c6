#pragma once

#include "base/LogEntry.h"

#include <optional>
#include <string_view>

namespace siskinshunt {

enum class RecordKind : uint8_t {
    Entry,
    HardState,
    Reset, ///< Discards the group's preceding entries, which the snapshot at `entry.index` replaces.
};

/// One record of the log shared by all groups.
struct StoredRecord {
    RecordKind kind = RecordKind::Entry;
    GroupId group;
    HardState hardState; ///< Present in HardState records only.
    LogEntry entry; ///< Present in Entry records; in Reset records only index and term are set.

    template <class Archive>
    void serialize(Archive& archive)
    {
        archive(kind, group);
        if (kind == RecordKind::HardState)
            archive(hardState);
        else
            archive(entry);
    }
};

/// Records made durable by one write and one sync. On-disk format: magic, sequence, length, header checksum, records,
/// checksum of the records; numbers are 64-bit little-endian.
struct Batch {
    uint64_t sequence = 0; ///< Incremented by one with each batch of the data folder.
    std::vector<StoredRecord> records;
};

std::string encodeBatch(const Batch&);

enum class BatchState : uint8_t {
    Valid,
    Torn, ///< Possible result of an interrupted write: truncated, or with blocks of zeros.
    Corrupt, ///< Was written completely and has changed since.
};

struct BatchReadResult {
    BatchState state = BatchState::Torn;
    Batch batch;
    size_t size = 0; ///< Size of a valid batch in bytes.
};

/// Reads the batch at the offset. `expected` is its expected sequence, or 0 to accept any.
BatchReadResult readBatch(std::string_view file, size_t offset, uint64_t expected);

}
