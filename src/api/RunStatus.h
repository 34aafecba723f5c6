#pragma once

#include "base/EnumNames.h"

#include <array>
#include <cstdint>

namespace siskinshunt {

/// Progress of the dispatch of a call to an upstream.
enum class DispatchState : uint8_t {
    NothingSent, ///< No byte was sent to any upstream, or none that an upstream can have acted on.
    PossiblySent, ///< Bytes may have been sent; the outcome is not known.
    Answered, ///< The response of the upstream is known.
};

/// Whether the request was executed, as reported to the caller. The names are part of the API.
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

/// Status that is reported for a dispatch. All responses derive it here, so that they agree.
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
