#pragma once

#include "api/Refusal.h"
#include "node/NodeState.h"

namespace siskinshunt {

/// Answers an exchange with a JSON body.
void answerJson(Node&, ExchangeId, uint16_t status, std::string body, HttpHeaders headers = {});
/// Answers a control call with a JSON body that holds the message.
void answerMessage(Node&, ExchangeId, uint16_t status, const std::string& message);
/// Answers a control call with 503 and Retry-After, and logs the message. The caller may send it again, to any node.
void answerUnavailable(Node&, ExchangeId, const std::string& message);
/// Answers a control call by the reply of the decision log: 200 if accepted, 400 if malformed, otherwise 409.
void answerControlReply(Node&, ExchangeId, const ControlReply&);
/// Refuses a request for which no call was created; states that it was not run.
void refuseRequest(Node&, ExchangeId, RefusalCode, std::string message, TimeMs retryAfter = {});
/// Answers an exchange with a refusal, which determines status, headers and body.
void answerRefusal(Node&, ExchangeId, const Refusal&);
/// Whether the request's bearer token has this SHA-256 digest. Compared in constant time.
bool tokenMatches(const HttpRequest&, std::string_view sha256);
/// The bearer token of the request; empty if it has none.
std::string_view bearerToken(const HttpRequest&);
/// Whether these are the headers of a stream of events.
bool isEventStream(const HttpHeaders&);
/// The operator whose token the request carries; empty if none.
std::string operatorOf(const Node&, const HttpRequest&);

}
