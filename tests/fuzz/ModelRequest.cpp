#include "api/ModelRequest.h"
#include "Fuzz.h"
#include "base/PrefixHash.h"

using namespace siskinshunt;

static constexpr uint32_t depth = 32;

static bool accepts(std::string_view path, std::string_view body)
{
    return handle(
        [&]() -> Result<bool> {
            BOOST_LEAF_AUTO(request, parseModelRequest(path, body, depth));
            INVARIANT(prefixHashes(request.prompt).size() == request.prompt.size() / 1024, "one hash for each whole block", "bytes", request.prompt.size());
            return true;
        },
        [](const Error&) { return false; });
}

// Guards against request bodies and engine responses that crash a node, and against bodies that cannot be resumed.
void fuzzOne(std::string_view input)
{
    for (const char* path : { "/v1/chat/completions", "/v1/completions" }) {
        if (accepts(path, input))
            INVARIANT(accepts(path, withResume(input, 3, "some text")), "a request with resume is a request", "path", path);
    }
    Usage usage;
    parseUsage(input, usage);
    extractEventText(input);
}
