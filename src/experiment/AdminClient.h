#pragma once

#include "experiment/HttpClient.h"
#include "experiment/Json.h"

#include <string>
#include <vector>

namespace siskinshunt {

struct AdminAccess {
    std::vector<std::string> addresses; ///< Node addresses in the order of the attempts.
    std::string token; ///< Operator token.
    TimeMs timeout { 5000 }; ///< Per attempt.
    uint32_t attempts = 6; ///< Maximum number of attempts over all addresses.
};

/// Response of a node to an admin request, or the fact that no node answered.
struct AdminAnswer {
    int status = 0; ///< 0: no node answered.
    Json body;
    std::string address; ///< The node that answered.
    uint32_t attempts = 0;
    bool possiblyExecuted = false; ///< A request was sent but not answered, so a node may have executed it.
};

/// Whether the request can be sent again: there was no answer, or the node is temporarily unable to handle it (503 or 504).
bool canRetryRequest(HttpEnd, int status);

/// Sends the request to one node after another until one answers. All attempts have the same body, so a request that changes
/// state must contain a request id.
AdminAnswer callAdmin(const AdminAccess&, const std::string& method, const std::string& target, const Json& body = {});

/// Maps an answer to an exit code.
int exitCodeOf(const AdminAnswer&);

}
