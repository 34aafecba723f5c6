#include "control/ControlCommand.h"

#include "base/Compression.h"
#include "replica/StateCodec.h"

namespace siskinshunt {

// Exceeds the largest command: a rules text of maximum size with its other fields.
static constexpr size_t maxControlBytes = 4 << 20;

// Bounds the memory that a compressed content can take.
static constexpr size_t maxContentBytes = 32 << 20;

std::string packContent(const ConfigurationContent& content)
{
    return compress(encodeState(content));
}

std::optional<ConfigurationContent> unpackContent(std::string_view bytes)
{
    const auto encoded = decompress(bytes, maxContentBytes);
    ConfigurationContent content;
    if (!encoded || !decodeState(*encoded, content, maxContentBytes))
        return std::nullopt;
    return content;
}

std::string encodeControlCommand(const ControlCommand& command)
{
    return encodeState(command);
}

std::optional<ControlCommand> decodeControlCommand(std::string_view bytes)
{
    ControlCommand command;
    if (!decodeState(bytes, command, maxControlBytes))
        return std::nullopt;
    return command;
}

std::string encodeControlReply(const ControlReply& reply)
{
    return encodeState(reply);
}

std::optional<ControlReply> decodeControlReply(std::string_view bytes)
{
    ControlReply reply;
    if (!decodeState(bytes, reply, maxControlBytes) || reply.outcome > ControlOutcome::Malformed)
        return std::nullopt;
    return reply;
}

}
