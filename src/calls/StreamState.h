#pragma once

#include "base/EnumNames.h"
#include "calls/EventReader.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinshunt {

/// The part of a streamed answer that was forwarded to the caller so far, over all dispatches of the call.
struct StreamState {
    uint64_t offset = 0; ///< Number of tokens forwarded.
    bool numbered = true; ///< Every event so far had an id, which is required to resume the stream.
    bool done = false; ///< "[DONE]" has been forwarded.
    std::vector<std::string> forwarded; ///< Data of the forwarded events, used to resume the answer at another engine.
    size_t forwardedBytes = 0;
};

enum class EventVerdict : uint8_t {
    Forward,
    Duplicate, ///< The event was already forwarded.
    Gap, ///< Events before this one are missing, so the stream must be resumed.
    Complete, ///< The event is the end marker.
    Late, ///< The event follows the end marker.
};

template <>
inline constexpr auto enumNames<EventVerdict> = std::to_array<EnumName<EventVerdict>>({
    { EventVerdict::Forward, "forward" },
    { EventVerdict::Duplicate, "duplicate" },
    { EventVerdict::Gap, "gap" },
    { EventVerdict::Complete, "complete" },
    { EventVerdict::Late, "late" },
});

/// Classifies an event of the current dispatch and updates the state for Forward and Complete. An event whose id equals the
/// offset carries no new token (such as the final event with the token usage) and is forwarded.
EventVerdict acceptEvent(StreamState&, const ServerEvent&);

/// True if an interrupted stream can be resumed at its offset without duplicates or gaps for the caller.
bool canResume(const StreamState&);

}
