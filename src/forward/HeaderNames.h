#pragma once

#include <string>
#include <vector>

namespace siskinshunt {

/// Names of the headers that forwarding reads and sets. A platform adapter replaces them by the platform's names.
struct HeaderNames {
    // From callers.
    std::string requestId = "Siskinshunt-Request"; ///< ID of one attempt of a caller; upstreams echo it.
    std::string timeLeft = "Siskinshunt-Time-Left"; ///< Milliseconds that the sender continues to wait.
    std::string tokens = "Siskinshunt-Tokens"; ///< "IN,OUT": prompt tokens and the maximum number of response tokens.
    std::string lengthHint = "Siskinshunt-Expected-Tokens"; ///< Response tokens that the caller expects.
    std::string promptParts = "Siskinshunt-Prompt-Parts"; ///< "HEX:TOKENS,...": parts of the prompt in order.
    std::string lastEvent = "Last-Event-Id"; ///< Event after which to resume a stream.
    // To upstreams.
    std::string target = "Siskinshunt-Target"; ///< Name of the intended upstream; any other one refuses the request.
    std::string account = "Siskinshunt-Account"; ///< Client account of the caller.
    std::string urgency = "Siskinshunt-Urgency"; ///< 0 (most urgent) to 9.
    // Between entry nodes.
    std::string relayed = "Siskinshunt-Relayed"; ///< The request comes from a node that does not reach the upstreams, or how that went; see node/ForwardRelay.h.
    // From upstreams.
    std::string receipt = "Siskinshunt-Receipt"; ///< Proof that the response comes from the upstream itself.
    std::string notRun = "Siskinshunt-Not-Run"; ///< States that the upstream has not executed the request.
    std::string rateLimit = "Siskinshunt-Rate-Limit"; ///< Requests per second, a decimal number, that the upstream takes from all nodes together.
    std::string leaving = "Siskinshunt-Leaving"; ///< "1": the upstream is about to leave and takes no new work.
    std::string brittle = "Siskinshunt-Brittle"; ///< Requests that the upstream can refuse in a second, from all nodes together, without failing.
    /// Headers that only the system may set; they are removed from callers' requests.
    std::vector<std::string> reserved;
};

}
