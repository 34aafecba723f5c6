#pragma once

#include "base/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinshunt {

/// What the decisions need to know of a chat or completion request.
struct ModelRequest {
    std::string model;
    bool stream = false;
    uint32_t maxTokens = 256; ///< "max_tokens" or "max_completion_tokens".
    std::string prompt; ///< The message contents joined by newlines, or the prompt; for prefix hashes.
    uint64_t promptTokens = 0; ///< Estimate from the length of the prompt.
};

/// Parses the body of POST /v1/chat/completions or /v1/completions. `depth` bounds the nesting of the JSON text.
/// Fails with Invalid (step accept) and a sentence for the caller.
Result<ModelRequest> parseModelRequest(std::string_view path, std::string_view body, uint32_t depth);

/// The body with a member "resume": {"offset": N, "text": "..."}, which tells another engine what has been generated so
/// far. The body must have been accepted by parseModelRequest.
std::string withResume(std::string_view body, uint64_t offset, std::string_view text);

/// Generated text of the data of one server-sent event; empty if it has none.
std::string extractEventText(std::string_view data);

/// "usage" of an answer or of the last event of a stream.
struct Usage {
    uint64_t promptTokens = 0;
    uint64_t completionTokens = 0;
    uint64_t cachedTokens = 0;
};

/// Usage in the JSON text; false if it has none.
bool parseUsage(std::string_view body, Usage& usage);

}
