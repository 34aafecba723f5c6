#pragma once

#include "api/RunStatus.h"
#include "base/EnumNames.h"
#include "base/TimeMs.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Why a request is refused or failed without an upstream response. The names are part of the API.
enum class RefusalCode : uint8_t {
    MalformedRequest,
    IdempotencyKeyRequired,
    Unauthorized,
    UnknownRoute,
    UnknownCall,
    MethodNotAllowed,
    KeyReused,
    KeyExpired,
    TooLarge,
    LimitExceeded,
    QueueFull,
    DeadlineUnreachable,
    NoUpstream,
    NoRules,
    LedgerUnavailable,
    LedgerFull,
    Draining,
    UpstreamFailed,
    OutcomeUnknown,
    DeadlineExceeded,
    Conflict,
    InvalidRules,
    Unavailable,
};

template <>
inline constexpr auto enumNames<RefusalCode> = std::to_array<EnumName<RefusalCode>>({
    { RefusalCode::MalformedRequest, "malformed_request" },
    { RefusalCode::IdempotencyKeyRequired, "idempotency_key_required" },
    { RefusalCode::Unauthorized, "unauthorized" },
    { RefusalCode::UnknownRoute, "unknown_route" },
    { RefusalCode::UnknownCall, "unknown_call" },
    { RefusalCode::MethodNotAllowed, "method_not_allowed" },
    { RefusalCode::KeyReused, "key_reused" },
    { RefusalCode::KeyExpired, "key_expired" },
    { RefusalCode::TooLarge, "too_large" },
    { RefusalCode::LimitExceeded, "limit_exceeded" },
    { RefusalCode::QueueFull, "queue_full" },
    { RefusalCode::DeadlineUnreachable, "deadline_unreachable" },
    { RefusalCode::NoUpstream, "no_upstream" },
    { RefusalCode::NoRules, "no_rules" },
    { RefusalCode::LedgerUnavailable, "ledger_unavailable" },
    { RefusalCode::LedgerFull, "ledger_full" },
    { RefusalCode::Draining, "draining" },
    { RefusalCode::UpstreamFailed, "upstream_failed" },
    { RefusalCode::OutcomeUnknown, "outcome_unknown" },
    { RefusalCode::DeadlineExceeded, "deadline_exceeded" },
    { RefusalCode::Conflict, "conflict" },
    { RefusalCode::InvalidRules, "invalid_rules" },
    { RefusalCode::Unavailable, "unavailable" },
});

/// HTTP status of the refusal.
uint16_t statusOf(RefusalCode);

/// Refusal that is returned to the caller. Status, body and headers are all derived from it, so that they agree.
struct Refusal {
    RefusalCode code = RefusalCode::MalformedRequest;
    RunStatus run = RunStatus::NotRun;
    std::string message; ///< One sentence.
    std::string call; ///< Call id in hexadecimal; empty if none was assigned yet.
    TimeMs retryAfter; ///< Zero if the response contains no retry advice.
};

/// JSON body: {"error":{"code","message","run","call","retry_after_ms"}}
std::string refusalBody(const Refusal&);

}
