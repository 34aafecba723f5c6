#include "experiment/ClientPolicy.h"

namespace siskinshunt {

CallResult resultOf(const AttemptOutcome& attempt, bool once)
{
    if (attempt.end == HttpEnd::Cancelled)
        return CallResult::Left;
    if (attempt.end == HttpEnd::NotConnected)
        return CallResult::Unreachable;
    if (attempt.status == 0)
        return CallResult::Lost;
    switch (attempt.verdict) {
    case AnswerVerdict::Whole:
        return CallResult::Answered;
    case AnswerVerdict::Crossed:
        return CallResult::Crossed;
    case AnswerVerdict::Incomplete:
        return CallResult::Cut;
    case AnswerVerdict::ErrorEvent:
    case AnswerVerdict::Refusal:
        break;
    }
    if (attempt.run == "not-run")
        return CallResult::Refused;
    return once && attempt.run == "unknown" ? CallResult::Unknown : CallResult::Failed;
}

bool canResend(const AttemptOutcome& attempt, bool once)
{
    switch (resultOf(attempt, once)) {
    case CallResult::Answered:
    case CallResult::Crossed:
    case CallResult::Left:
        return false;
    case CallResult::Unreachable:
    case CallResult::Lost:
    case CallResult::Cut:
    case CallResult::Unknown:
        return true;
    case CallResult::Refused:
        return attempt.status == 429 || attempt.status >= 500 || attempt.status == 200;
    case CallResult::Failed:
        return attempt.status >= 500 || attempt.status == 200;
    }
    return false;
}

bool leavesOutcomeUnknown(const AttemptOutcome& attempt)
{
    if (attempt.end == HttpEnd::NotConnected)
        return false;
    return attempt.verdict != AnswerVerdict::Refusal || attempt.run != "not-run";
}

}
