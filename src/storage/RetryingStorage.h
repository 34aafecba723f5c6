#pragma once

#include "storage/Storage.h"

namespace siskinshunt {

/// Storage that goes on after its disk was full. A failed append can leave an incomplete batch at the end of the log, as a crash does, so
/// the files are recovered as by a restart before the next write. What a failed sync leaves on the disk is unknown; that failure is final.
struct RetryingStorage {
    Disk* disk = nullptr;
    StorageOptions options;
    std::unique_ptr<Storage> storage;
    bool full = false; ///< The last write found no space.
    bool failed = false; ///< No further write is possible.
};

enum class WriteState : uint8_t {
    Written, ///< All requests are durable.
    Full, ///< The disk takes no more bytes. None of the requests counts as written; write the same ones again later.
    Failed, ///< Every further write fails until a restart.
};

/// Result of a write.
struct WriteOutcome {
    WriteState state = WriteState::Failed;
    WriteReport report; ///< If written.
    std::string error; ///< Empty if written.
    std::vector<LogRecord> log; ///< Of a recovery before the write.
};

/// Whether the disk took no more bytes, so that a later try may succeed.
bool isDiskFull(const Error&);
/// Recovers the state from the folder, as Storage::open().
Result<RetryingStorage> openRetryingStorage(Disk&, const StorageOptions&);

/// Makes all requests durable, as Storage::write().
WriteOutcome write(RetryingStorage&, std::span<const DiskRequest>);

}
