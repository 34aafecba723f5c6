#include "node/CostFlow.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

// Events of an answer hold 3 to 5 tokens. The accuracy of hints is learned, so a constant factor does not matter.
static constexpr double tokensPerEvent = 4;
static constexpr double minTokensPerMs = 1;

static OutputRequest outputRequest(const ForwardCall& call)
{
    return { .account = call.account ? std::string_view(call.account->name) : std::string_view {}, .route = call.rule->name, .hint = call.lengthHint, .limit = call.outputLimit };
}

// The rest of an answer in progress is shorter by what has arrived.
static OutputEstimate expectedRest(const Node& node, const ForwardCall& call)
{
    OutputEstimate out = estimateOutput(node.forward.choice.costs.output, outputRequest(call));
    out.mean = std::max(tokensPerEvent, out.mean - tokensPerEvent * static_cast<double>(call.events.events()));
    return out;
}

static double prefillMs(const Node& node, const PrefillWork& work)
{
    const auto& choice = node.forward.choice;
    return equivalentTokens(choice.costs.pairs, work) / std::max(minTokensPerMs, choice.prefillEstimator.tokensPerMs);
}

double engineWorkMs(const Node& node, const ForwardCall& call, const TargetChoice& choice, double prefillMs)
{
    const auto& targets = node.forward.targets.entries;
    const auto it = targets.find(choice.target);
    const double slots = it == targets.end() ? 1 : it->second.slots;
    return engineWorkMs(prefillMs, expectedSlotMs(node.forward.choice.costs, call.backend, prefillMs, expectedRest(node, call)), slots);
}

void recordCostAtSend(Node& node, ForwardCall& call, const TargetChoice& choice, const ForwardTarget& target)
{
    call.prefill = choice.prefill;
    call.firstEventAt = {};
    call.expectedOutput = 0;
    call.expectedSlotMs = 0;
    if (!target.engine)
        return;
    const OutputEstimate rest = expectedRest(node, call);
    auto& costs = node.forward.choice.costs;
    call.expectedOutput = rest.mean;
    call.expectedSlotMs = expectedSlotMs(costs, call.backend, prefillMs(node, call.prefill), rest);
    recordSlotUse(costs, call.backend, call.expectedSlotMs);
}

void recordCostAtFirstEvent(Node& node, ForwardCall& call)
{
    call.firstEventAt = node.now;
    if (call.relay || call.tokensBeforeFirstEvent <= 0)
        return;
    const double queued = std::max(0.0, call.tokensBeforeFirstEvent - call.prefillTokens);
    recordPrefill(node.forward.choice.costs.pairs, { .work = call.prefill, .queuedTokens = queued, .milliseconds = static_cast<double>((node.now - call.sentAt).value) });
}

void recordCostAtEnd(Node& node, const ForwardCall& call)
{
    const uint64_t events = call.events.events();
    // Without an expectation, the answer is not that of an engine to which this node has sent the request.
    if (call.relay || call.expectedOutput <= 0 || call.status >= 300 || !events)
        return;
    auto& costs = node.forward.choice.costs;
    recordOutput(costs.output, outputRequest(call), tokensPerEvent * static_cast<double>(events));
    if (call.firstEventAt.value && events > call.eventsAtSend)
        recordSlotTime(costs, call.backend, { .prefillMs = prefillMs(node, call.prefill), .decodeMs = static_cast<double>((node.now - call.firstEventAt).value), .tokens = tokensPerEvent * static_cast<double>(events - call.eventsAtSend), .expectedMs = call.expectedSlotMs });
}

static std::string rounded(double value)
{
    return std::to_string(std::llround(value));
}

std::vector<std::pair<std::string, std::string>> costFields(const Node& node, const ForwardCall& call)
{
    if (call.expectedOutput <= 0)
        return {};
    const double equivalent = equivalentTokens(node.forward.choice.costs.pairs, call.prefill);
    return { { "prefill_tokens", rounded(call.prefill.newTokens) }, { "prefill_equivalent", rounded(equivalent) }, { "length_hint", rounded(call.lengthHint) }, { "expected_output", rounded(call.expectedOutput) },
        { "output", rounded(tokensPerEvent * static_cast<double>(call.events.events())) }, { "expected_slot_ms", rounded(call.expectedSlotMs) }, { "slot_ms", call.firstEventAt.value ? rounded(static_cast<double>((node.now - call.sentAt).value)) : std::string("-") } };
}

}
