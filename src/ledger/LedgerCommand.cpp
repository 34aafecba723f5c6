#include "ledger/LedgerCommand.h"

#include "base/Hash.h"
#include "base/Invariant.h"
#include "replica/StateCodec.h"

#include <utility>

namespace siskinshunt {

// Larger than any valid command or reply; the ledger itself checks the limits of requests and answers.
static constexpr size_t maxEncodedBytes = 2 << 20;

std::string encodeLedgerCommand(const LedgerCommand& command)
{
    return encodeState(command);
}

std::optional<LedgerCommand> decodeLedgerCommand(std::string_view bytes)
{
    LedgerCommand command;
    if (!decodeState(bytes, command, maxEncodedBytes))
        return std::nullopt;
    return command;
}

std::string encodeLedgerReply(const LedgerReply& reply)
{
    return encodeState(reply);
}

std::optional<LedgerReply> decodeLedgerReply(std::string_view bytes)
{
    LedgerReply reply;
    if (!decodeState(bytes, reply, maxEncodedBytes))
        return std::nullopt;
    if (reply.outcome > LedgerOutcome::Malformed || reply.state > CallState::Unknown)
        return std::nullopt;
    return reply;
}

GroupId groupOfKey(std::string_view account, std::string_view key, uint32_t groups)
{
    INVARIANT(groups > 0, "the number of ledger groups is positive");
    return { 2 + combineHash(hash64(account), hash64(key)) % groups };
}

GroupId groupOfCall(CallId call, uint32_t groups)
{
    INVARIANT(groups > 0, "the number of ledger groups is positive");
    return { 2 + call.value % groups };
}

CallId makeCallId(uint64_t random, GroupId group, uint32_t groups)
{
    INVARIANT(groups > 0 && group.value >= 2 && group.value < 2 + uint64_t { groups }, "the group is a ledger group", "group", group.value);
    const uint64_t remainder = group.value - 2;
    // The quotient is at least 1, so that the id is not zero, and small enough that the id fits into 64 bits.
    const uint64_t quotients = UINT64_MAX / groups - 1;
    return { (1 + random % quotients) * groups + remainder };
}

static int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    if (c >= 'a' && c <= 'f')
        return c - 'a' + 10;
    return c >= 'A' && c <= 'F' ? c - 'A' + 10 : -1;
}

std::optional<TimeMs> keyCreationTime(std::string_view key)
{
    if (key.size() != 36)
        return std::nullopt;
    int64_t time = 0;
    for (size_t n = 0; n < key.size(); ++n) {
        const bool dash = n == 8 || n == 13 || n == 18 || n == 23;
        const int digit = hexDigit(key[n]);
        if (dash ? key[n] != '-' : digit < 0)
            return std::nullopt;
        if (!dash && n < 13)
            time = time * 16 + digit;
    }
    const int variant = hexDigit(key[19]);
    if (key[14] != '7' || variant < 8 || variant > 11)
        return std::nullopt;
    return TimeMs { time };
}

}
