#pragma once

#include "api/HttpMessage.h"

#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Checks the framing of a request head (request line and headers up to and including the empty line) before it is
/// parsed. Returns a description of the problem, or nothing if the head is valid. Rejects every form that HTTP parsers may
/// interpret differently, to prevent request smuggling: bare line feeds, folded lines, control characters, several lengths,
/// a length together with a transfer coding, and transfer codings other than exactly "chunked".
std::optional<std::string> findHeadProblem(std::string_view head);

/// Checks the head of a response for what an HTTP parser accepts and a client must not use. Returns a description of the problem, or nothing if
/// the head is valid. Rejects a status outside 100 to 599, a switch of the protocol, since no request asks for one, an interim response that
/// states a body, whose bytes would be read as the next response, and transfer codings other than exactly "chunked", since no request allows them.
std::optional<std::string> findResponseProblem(unsigned status, const HttpHeaders&);

/// Whether responses with this status precede the final response to the same request (RFC 9110, 15.2). They have no body.
bool isInterimStatus(unsigned status);

}
