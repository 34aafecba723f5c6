#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// State machine of a replica. The functions have to be deterministic: the same sequence of commands gives the same state
/// and replies on every voter.
struct StateMachine {
    /// Applies a committed command and returns the encoded reply for the proposer. `index` is the log index of the command.
    std::function<std::string(uint64_t index, std::string_view command)> apply;
    /// Encodes the whole state.
    std::function<std::string()> snapshot;
    /// Replaces the state by a decoded snapshot; returns false if the bytes are not a valid snapshot of this state machine.
    std::function<bool(std::string_view bytes)> restore;
};

}
