#pragma once

#include "replica/Replica.h"
#include "storage/FileDisk.h"
#include "storage/Storage.h"

#include <memory>
#include <string>

namespace siskinshunt {

/// One voter of one group on its own, whose writes are run at once.
struct SingleVoter {
    std::unique_ptr<FileDisk> disk;
    std::unique_ptr<Storage> storage;
    ReplicaPtr replica;
};

/// Opens the folder as it stands.
Result<std::unique_ptr<SingleVoter>> openSingleVoter(const std::string& folder, StateMachine, const ReplicaOptions&);

/// Founds the group and lets the voter win the election.
Result<void> bootstrapGroup(SingleVoter&);

/// Runs all writes that wait; returns how many proposals were applied.
Result<size_t> runWrites(SingleVoter&);

}
