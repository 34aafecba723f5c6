#pragma once

#include "replica/Replica.h"
#include "storage/FileDisk.h"
#include "storage/Storage.h"

#include <memory>
#include <string>

namespace siskinshunt {

/// The only voter of a group. Its writes run synchronously.
struct SingleVoter {
    std::unique_ptr<FileDisk> disk;
    std::unique_ptr<Storage> storage;
    ReplicaPtr replica;
};

/// Opens the folder and recovers the group from what it holds.
Result<std::unique_ptr<SingleVoter>> openSingleVoter(const std::string& folder, StateMachine, const ReplicaOptions&);

/// Bootstraps the group and makes the voter its leader.
Result<void> bootstrapGroup(SingleVoter&);

/// Runs all pending writes and returns the number of proposals that were applied.
Result<size_t> runWrites(SingleVoter&);

}
