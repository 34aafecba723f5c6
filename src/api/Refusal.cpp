#include "api/Refusal.h"

#include <boost/json.hpp>

namespace siskinshunt {

uint16_t statusOf(RefusalCode code)
{
    switch (code) {
    case RefusalCode::MalformedRequest:
    case RefusalCode::IdempotencyKeyRequired:
    case RefusalCode::InvalidRules:
        return 400;
    case RefusalCode::Unauthorized:
        return 401;
    case RefusalCode::UnknownRoute:
    case RefusalCode::UnknownCall:
        return 404;
    case RefusalCode::MethodNotAllowed:
        return 405;
    case RefusalCode::KeyReused:
    case RefusalCode::Conflict:
        return 409;
    case RefusalCode::KeyExpired:
        return 410;
    case RefusalCode::TooLarge:
        return 413;
    case RefusalCode::LimitExceeded:
        return 429;
    case RefusalCode::UpstreamFailed:
    case RefusalCode::OutcomeUnknown:
        return 502;
    case RefusalCode::QueueFull:
    case RefusalCode::DeadlineUnreachable:
    case RefusalCode::NoUpstream:
    case RefusalCode::NoRules:
    case RefusalCode::LedgerUnavailable:
    case RefusalCode::LedgerFull:
    case RefusalCode::Draining:
    case RefusalCode::Unavailable:
        return 503;
    case RefusalCode::DeadlineExceeded:
        return 504;
    }
    return 503;
}

std::string refusalBody(const Refusal& refusal)
{
    boost::json::object error;
    error["code"] = nameOf(refusal.code);
    error["message"] = refusal.message;
    error["run"] = nameOf(refusal.run);
    if (!refusal.call.empty())
        error["call"] = refusal.call;
    if (refusal.retryAfter.value > 0)
        error["retry_after_ms"] = refusal.retryAfter.value;
    return boost::json::serialize(boost::json::object { { "error", error } });
}

}
