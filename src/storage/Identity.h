#pragma once

#include "base/Ids.h"
#include "storage/Disk.h"

namespace siskinshunt {

/// Identity of the voter that owns a data folder.
struct Identity {
    std::string cluster; ///< Cluster id; no spaces or control characters.
    std::string node; ///< Configured node name; no spaces or control characters.
    VoterId voter; ///< Made by makeVoterId() when the folder is initialised.
};

/// Reads the identity file and compares it with the settings. If there is neither an identity file nor a log or snapshot,
/// creates the file with `wanted.voter`, which has to be new. Returns the stored identity. Fails with Conflict
/// and both names if the folder belongs to another node or cluster, and with Corrupt if the file is damaged, or missing
/// although there is a log or snapshot.
Result<Identity> openIdentity(Disk&, const Identity& wanted);

}
