#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinshunt {

// Heads of HTTP/1.1 messages as text. Names and values are written as given, so that repeated headers stay repeated.

/// Appends the status line.
void appendStatusLine(std::string& out, uint16_t status);
void appendField(std::string& out, std::string_view name, std::string_view value);
/// Appends one chunk of a chunked body; nothing for no bytes, because an empty chunk ends the body.
void appendChunk(std::string& out, std::string_view bytes);
/// Whether answers with this status have no body by definition.
bool isBodiless(uint16_t status);

}
