#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Checks the framing of a request head (request line and headers up to and including the empty line) before it is
/// parsed. Returns a description of the problem, or nothing if the head is valid. Rejects every form that HTTP parsers may
/// interpret differently, to prevent request smuggling: bare line feeds, folded lines, control characters, several lengths,
/// a length together with a transfer coding, and transfer codings other than exactly "chunked".
std::optional<std::string> findHeadProblem(std::string_view head);

}
