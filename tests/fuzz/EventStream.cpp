#include "Fuzz.h"
#include "calls/EventReader.h"
#include "calls/StreamState.h"

#include <vector>

using namespace siskinshunt;

static std::vector<ServerEvent> readAll(std::string_view bytes, size_t chunkSize)
{
    EventReader reader;
    std::vector<ServerEvent> out;
    for (size_t at = 0; at < bytes.size(); at += chunkSize) {
        if (!reader.feed(bytes.substr(at, chunkSize)))
            return out;
        while (auto event = reader.next())
            out.push_back(std::move(*event));
    }
    return out;
}

static void checkStream(const std::vector<ServerEvent>& events)
{
    StreamState state;
    for (const auto& it : events) {
        const auto before = state.offset;
        const bool wasDone = state.done;
        const auto verdict = acceptEvent(state, it);
        INVARIANT(state.offset >= before && state.offset <= before + 1, "a stream advances by at most one token", "from", before, "to", state.offset);
        INVARIANT(!wasDone || verdict == EventVerdict::Late, "nothing follows the end mark");
    }
}

// Guards against streams that crash a node or skip tokens, and against events that depend on how the bytes are split.
void fuzzOne(std::string_view input)
{
    const auto whole = readAll(input, std::max<size_t>(1, input.size()));
    for (const size_t chunkSize : { size_t(1), size_t(3), size_t(7) }) {
        const auto pieces = readAll(input, chunkSize);
        INVARIANT(pieces.size() == whole.size(), "the split does not change the events", "whole", whole.size(), "pieces", pieces.size());
        for (size_t n = 0; n < whole.size(); ++n)
            INVARIANT(pieces[n].id == whole[n].id && pieces[n].data == whole[n].data, "the split does not change an event", "n", n);
    }
    checkStream(whole);
}
