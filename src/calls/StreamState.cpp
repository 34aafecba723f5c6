#include "calls/StreamState.h"

namespace siskinshunt {

static constexpr std::string_view endMarker = "[DONE]";
// A longer stream is still forwarded but can no longer be resumed.
static constexpr size_t maxResumeBytes = 4 << 20;

static void retainForResume(StreamState& state, const std::string& data)
{
    state.forwardedBytes += data.size();
    if (state.forwardedBytes <= maxResumeBytes)
        state.forwarded.push_back(data);
    else
        state.forwarded.clear();
}

EventVerdict acceptEvent(StreamState& state, const ServerEvent& event)
{
    if (state.done)
        return EventVerdict::Late;
    if (event.data == endMarker) {
        state.done = true;
        return EventVerdict::Complete;
    }
    if (!event.id) {
        state.numbered = false;
        return EventVerdict::Forward;
    }
    if (*event.id < state.offset)
        return EventVerdict::Duplicate;
    if (*event.id > state.offset + 1)
        return EventVerdict::Gap;
    state.offset = *event.id;
    retainForResume(state, event.data);
    return EventVerdict::Forward;
}

bool canResume(const StreamState& state)
{
    return state.numbered && !state.done && (state.offset == 0 || !state.forwarded.empty());
}

}
