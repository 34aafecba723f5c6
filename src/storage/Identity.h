#pragma once

#include "base/Ids.h"
#include "storage/Disk.h"

namespace siskinshunt {

/// To whom a data folder belongs.
struct Identity {
    std::string cluster; ///< Cluster id; no spaces or control characters.
    std::string node; ///< Configured node name; no spaces or control characters.
    VoterId voter; ///< Random, created with the folder.
};

/// Reads the identity file and compares it with the settings; in an empty folder creates it with `wanted.voter`, which
/// the caller draws at random. Returns the stored identity. Fails with Conflict and both names if the folder belongs to
/// another node or cluster, with Corrupt if the file is damaged or missing beside log files.
Result<Identity> openIdentity(Disk&, const Identity& wanted);

}
