#pragma once

#include "base/LogEntry.h"

#include <optional>
#include <string_view>

namespace siskinshunt {

enum class RecordKind : uint8_t {
    Entry,
    HardState,
    Reset, ///< The group's entries so far are replaced by the snapshot at `entry.index`.
};

/// One record of the shared log.
struct StoredRecord {
    RecordKind kind = RecordKind::Entry;
    GroupId group;
    HardState hardState; ///< Only in HardState.
    LogEntry entry; ///< In Entry; in Reset its index and term only.

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

/// The records that one write and one sync make durable. On disk: magic, sequence, length, header checksum, records,
/// checksum of the records; numbers are 64-bit little endian.
struct Batch {
    uint64_t sequence = 0; ///< Rises by one with each batch of the data folder.
    std::vector<StoredRecord> records;
};

std::string encodeBatch(const Batch&);

enum class BatchState : uint8_t {
    Valid,
    Torn, ///< What an interrupted write can leave: cut short, or with blocks of zeros.
    Corrupt, ///< Written completely once, and changed since.
};

struct BatchReadResult {
    BatchState state = BatchState::Torn;
    Batch batch;
    size_t size = 0; ///< Bytes of a valid batch.
};

/// Reads the batch at the offset. `expected` is its sequence, or 0 for any.
BatchReadResult readBatch(std::string_view file, size_t offset, uint64_t expected);

}
