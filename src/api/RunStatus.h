#pragma once

#include "base/EnumNames.h"

#include <array>
#include <cstdint>

namespace siskinshunt {

/// How far the dispatch of a call has come.
enum class DispatchState : uint8_t {
    NothingSent, ///< No byte has left for any upstream, or none that an upstream can have acted on.
    PossiblySent, ///< A byte may have left; the outcome is not known.
    Answered, ///< The upstream's answer is known.
};

/// What the caller is told about whether its request ran. The names are part of the interface.
enum class RunStatus : uint8_t {
    NotRun,
    Unknown,
    Ran,
};

template <>
inline constexpr auto enumNames<RunStatus> = std::to_array<EnumName<RunStatus>>({
    { RunStatus::NotRun, "not-run" },
    { RunStatus::Unknown, "unknown" },
    { RunStatus::Ran, "ran" },
});

/// The only place that decides the word.
constexpr RunStatus runStatusOf(DispatchState state)
{
    switch (state) {
    case DispatchState::NothingSent:
        return RunStatus::NotRun;
    case DispatchState::PossiblySent:
        return RunStatus::Unknown;
    case DispatchState::Answered:
        return RunStatus::Ran;
    }
    return RunStatus::Unknown;
}

}
