#pragma once

#include "base/Error.h"
#include "base/LogEntry.h"

namespace siskinshunt {

/// Content of a snapshot file.
struct SnapshotFile {
    uint64_t cluster = 0;
    GroupId group;
    Snapshot snapshot;
};

std::string snapshotFileName(GroupId, uint64_t index);
std::string encodeSnapshotFile(const SnapshotFile&);
/// Fails with Corrupt if the bytes are not a complete, valid snapshot file.
Result<SnapshotFile> decodeSnapshotFile(const std::string& name, std::string_view bytes);

}
