#pragma once

#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Checks the framing of a request head (request line and headers up to and including the empty line) before it is
/// parsed. Returns what is wrong, or nothing. Refuses every form that two HTTP parsers may read differently, because a
/// difference lets one request hide inside another: bare line feeds, folded lines, control bytes, both or several
/// lengths, and transfer codings other than exactly "chunked".
std::optional<std::string> findHeadProblem(std::string_view head);

}
