#pragma once

#include <string>
#include <vector>

namespace siskinshunt {

/// Names of the headers that forwarding reads and sets. The adapter of a platform replaces them by the platform's own.
struct HeaderNames {
    // Of callers.
    std::string requestId = "Siskinshunt-Request"; ///< Identity of one attempt of a caller; upstreams repeat it.
    std::string timeLeft = "Siskinshunt-Time-Left"; ///< Milliseconds that the sender of the request still waits.
    std::string tokens = "Siskinshunt-Tokens"; ///< "IN,OUT": prompt tokens and the most tokens of the answer.
    std::string promptParts = "Siskinshunt-Prompt-Parts"; ///< "HEX:TOKENS,...": parts of the prompt in order.
    std::string lastEvent = "Last-Event-Id"; ///< Where a stream goes on.
    // To upstreams.
    std::string target = "Siskinshunt-Target"; ///< Name of the upstream that is meant; another one refuses.
    std::string account = "Siskinshunt-Account"; ///< Client account of the caller.
    std::string urgency = "Siskinshunt-Urgency"; ///< 0 (first) to 9.
    // Of upstreams.
    std::string receipt = "Siskinshunt-Receipt"; ///< Proof that the answer is the upstream's own.
    std::string notRun = "Siskinshunt-Not-Run"; ///< The upstream states that it has not run the request.
    /// Headers that only the system may set: a caller's are dropped.
    std::vector<std::string> reserved;
};

}
