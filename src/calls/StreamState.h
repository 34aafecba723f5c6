#pragma once

#include "base/EnumNames.h"
#include "calls/EventReader.h"

#include <array>
#include <cstdint>
#include <string>
#include <vector>

namespace siskinshunt {

/// What the caller of a streamed answer has got so far, over all dispatches of the call.
struct StreamState {
    uint64_t offset = 0; ///< Tokens forwarded.
    bool numbered = true; ///< Every event so far had an id, so that the stream can be resumed.
    bool done = false; ///< "[DONE]" has been forwarded.
    std::vector<std::string> forwarded; ///< Data of the forwarded events, to tell another engine the text so far.
    size_t forwardedBytes = 0;
};

enum class EventVerdict : uint8_t {
    Forward,
    Duplicate, ///< The caller has it already.
    Gap, ///< Events are missing before this one: the stream must be resumed.
    Complete, ///< The end mark.
    Late, ///< After the end mark.
};

template <>
inline constexpr auto enumNames<EventVerdict> = std::to_array<EnumName<EventVerdict>>({
    { EventVerdict::Forward, "forward" },
    { EventVerdict::Duplicate, "duplicate" },
    { EventVerdict::Gap, "gap" },
    { EventVerdict::Complete, "complete" },
    { EventVerdict::Late, "late" },
});

/// Judges an event of the current dispatch and, on Forward and Complete, takes it into the state. An event whose id equals
/// the offset carries no new token (a closing event with the usage) and is forwarded.
EventVerdict acceptEvent(StreamState&, const ServerEvent&);

/// Whether a broken stream can be taken up at its offset without the caller noticing.
bool canResume(const StreamState&);

}
