#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Members of a chat or completion request that admission and routing use.
struct ModelRequest {
    std::string model;
    bool stream = false;
    uint32_t maxTokens = 256; ///< "max_tokens" or "max_completion_tokens".
    std::string prompt; ///< The message contents joined by newlines, or the prompt; for prefix hashes.
    uint64_t promptTokens = 0; ///< Estimate from the length of the prompt.
};

/// Parses the body of POST /v1/chat/completions or /v1/completions. `maxDepth` limits the nesting of the JSON text.
/// Fails with Invalid (step accept) and a message for the caller.
Result<ModelRequest> parseModelRequest(std::string_view path, std::string_view body, uint32_t maxDepth);

/// Returns the body with a member "resume": {"offset": N, "text": "..."}, from which another engine continues the
/// generation. The body must have been accepted by parseModelRequest().
std::string withResume(std::string_view body, uint64_t offset, std::string_view text);

/// Generated text in the data of a server-sent event; empty if there is none.
std::string extractEventText(std::string_view data);

/// Token counts from "usage" of a response or of the last event of a stream.
struct Usage {
    uint64_t promptTokens = 0;
    uint64_t completionTokens = 0;
    uint64_t cachedTokens = 0;
};

/// Reads "usage" from the JSON text. Returns false if there is none.
bool parseUsage(std::string_view body, Usage& usage);

}
