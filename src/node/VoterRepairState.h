#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <map>
#include <string>
#include <utility>

namespace siskinshunt {

/// Learner of a group and the last progress that it made.
struct LearnerProgress {
    VoterId voter;
    uint64_t received = 0; ///< Entries and snapshot bytes.
    TimeMs at;
};

/// What a voter knows for the repair of one of its groups. All voters keep it, so that a new leader goes on where its predecessor ended.
struct VoterRepair {
    std::map<VoterId, TimeMs> missingSince; ///< Voters that belong to no live node.
    TimeMs checkedAt; ///< When `missingSince` was last updated.
    TimeMs nextCheck;
    LearnerProgress learner; ///< Kept by the leader.
    std::map<VoterId, TimeMs> givenUp; ///< Learners that made no progress, and when they were removed. Kept by the leader.
    std::pair<std::string, VoterId> lastLogged; ///< Code and voter of the last change in the log, which is proposed again if it is rejected.
    TimeMs leaderKnownAt; ///< When the group last had a leader.
    bool majorityAlive = true; ///< Whether the nodes of a majority of the voters are alive, or it is not known yet.
};

}
