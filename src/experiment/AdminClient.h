#pragma once

#include "experiment/HttpClient.h"
#include "experiment/Json.h"

#include <string>
#include <vector>

namespace siskinshunt {

struct AdminAccess {
    std::vector<std::string> addresses; ///< Nodes to ask, in order.
    std::string token; ///< Operator token.
    TimeMs timeout { 5000 }; ///< Of one attempt.
    uint32_t attempts = 6; ///< Over all addresses.
};

/// What a node answered, or that none did.
struct AdminAnswer {
    int status = 0; ///< 0: no node answered.
    Json body;
    std::string address; ///< The node that answered.
    uint32_t attempts = 0;
    bool possiblyExecuted = false; ///< Without an answer: a request was sent, so it may have been carried out.
};

/// Whether the same request may go out again after this end: no answer came, or the node says that it cannot now.
bool canRetryRequest(HttpEnd, int status);

/// Sends the request to one node after the other until one answers. Every request that is sent again has the same body,
/// so a request that changes something must carry a request id in it.
AdminAnswer callAdmin(const AdminAccess&, const std::string& method, const std::string& target, const Json& body = {});

/// Exit code for an answer.
int exitCodeOf(const AdminAnswer&);

}
