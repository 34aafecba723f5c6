#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// The state machine that a replica drives. The functions are pure over the state that they close over: the same
/// sequence of commands gives the same state and replies on every voter.
struct StateMachine {
    /// Applies a committed command; returns the encoded reply for the proposer. `index` rises by one with each entry.
    std::function<std::string(uint64_t index, std::string_view command)> apply;
    /// Encodes the whole state.
    std::function<std::string()> snapshot;
    /// Replaces the state by a decoded snapshot; returns false if the bytes are not a snapshot of this machine.
    std::function<bool(std::string_view bytes)> restore;
};

}
