#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace siskinshunt {

// Serialization of HTTP/1.1 messages. Header fields are written as given, so that repeated fields stay separate.

void appendStatusLine(std::string& out, uint16_t status);
void appendField(std::string& out, std::string_view name, std::string_view value);
/// Appends one chunk of a chunked body. Appends nothing if `bytes` is empty, because an empty chunk ends the body.
void appendChunk(std::string& out, std::string_view bytes);
/// Whether responses with this status never have a body (RFC 9110).
bool isBodiless(uint16_t status);

}
