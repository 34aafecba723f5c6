#include "control/ControlCommand.h"

#include "base/Compression.h"
#include "replica/StateCodec.h"

namespace siskinshunt {

// Exceeds the largest command: a configuration as received and as rules, each of maximum size, with its other fields.
static constexpr size_t maxControlBytes = 20 << 20;

static constexpr size_t minCompressedBytes = 4 << 10;

std::string encodeControlCommand(const ControlCommand& command)
{
    std::string bytes = encodeState(command);
    return bytes.size() < minCompressedBytes ? bytes : compress(bytes);
}

std::optional<ControlCommand> decodeControlCommand(std::string_view bytes)
{
    std::optional<std::string> decompressed;
    if (isCompressed(bytes)) {
        decompressed = decompress(bytes, maxControlBytes);
        if (!decompressed)
            return std::nullopt;
        bytes = *decompressed;
    }
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
