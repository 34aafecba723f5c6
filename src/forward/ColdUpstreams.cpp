#include "forward/ColdUpstreams.h"

#include <algorithm>

namespace siskinshunt {

// Added to each cold time: a request that is sent at its end must not arrive before the upstream is warm.
static constexpr TimeMs coldMargin { 150 };
// By this time after its start, a node knows the upstreams that were there before.
static constexpr TimeMs startWindow { 10000 };
// Difference of the clocks of upstreams and nodes.
static constexpr TimeMs clockSlack { 10000 };
// A statement that moves the end by less is no news: it is the delay of the announcement.
static constexpr TimeMs minShift { 300 };
// Bounds what a faulty upstream can state.
static constexpr uint64_t maxRemainingMs = 600000;
static constexpr uint64_t maxAgeMs = 600000;
static constexpr TimeMs stateRetention { 600000 };
static constexpr TimeMs senderRetention { 120000 };

static bool isEarlier(const ColdState& state, uint64_t incarnation)
{
    return state.knownAt.value && incarnation < state.incarnation;
}

static bool isSame(const ColdState& state, uint64_t incarnation)
{
    return state.knownAt.value && incarnation == state.incarnation;
}

void observeIncarnation(ColdState& state, TimeMs now, uint64_t incarnation, TimeMs nodeStartedAt)
{
    if (!isSame(state, incarnation) && !isEarlier(state, incarnation))
        state = { .incarnation = incarnation, .seenAt = now, .presentAtStart = now - nodeStartedAt <= startWindow };
    state.knownAt = now;
}

bool applyStatement(ColdState& state, TimeMs now, const ReportedCold& reported)
{
    if (isEarlier(state, reported.incarnation))
        return false;
    if (!isSame(state, reported.incarnation))
        state = { .incarnation = reported.incarnation, .seenAt = now };
    state.knownAt = now;
    const TimeMs statedAt = now - TimeMs { static_cast<int64_t>(std::min(reported.ageMs, maxAgeMs)) };
    if (state.stated && statedAt <= state.statedAt)
        return false;
    const TimeMs remaining { static_cast<int64_t>(std::min(reported.remainingMs, maxRemainingMs)) };
    const TimeMs until = remaining > TimeMs {} ? statedAt + remaining + coldMargin : statedAt;
    const bool wasCold = now < state.statedUntil;
    const TimeMs shift = until - state.statedUntil;
    const bool changed = now < until ? !wasCold || std::max(shift, shift * -1) > minShift : wasCold;
    const bool news = !state.stated || changed;
    state.stated = true;
    state.statedAt = statedAt;
    state.statedUntil = until;
    return news;
}

void requireStatement(ColdState& state, TimeMs now, TimeMs duration)
{
    state.stated = true;
    state.statedAt = now;
    state.statedUntil = now + duration + coldMargin;
}

TimeMs coldUntil(const ColdState& state, TimeMs duration)
{
    if (state.stated)
        return state.statedUntil;
    const TimeMs startedAt { static_cast<int64_t>(std::min<uint64_t>(state.incarnation, static_cast<uint64_t>(farFuture.value))) };
    if (state.presentAtStart && startedAt + duration + clockSlack <= state.seenAt)
        return {};
    return state.seenAt + duration + coldMargin;
}

ReportedCold reportedCold(const ColdState& state, UpstreamId upstream, TimeMs now)
{
    const TimeMs remaining = state.statedUntil > state.statedAt ? state.statedUntil - state.statedAt - coldMargin : TimeMs {};
    return { upstream, state.incarnation, static_cast<uint64_t>(std::max<int64_t>(0, remaining.value)), static_cast<uint64_t>(std::max<int64_t>(0, (now - state.statedAt).value)) };
}

void expireColdStates(ColdStates& states, TimeMs now)
{
    std::erase_if(states, [&](const auto& it) { return now - it.second.knownAt > stateRetention; });
}

std::vector<NodeId> recordSenders(ColdSenders& senders, TimeMs now, const std::vector<NodeId>& sending, const std::function<bool(NodeId)>& hasLeft)
{
    for (const NodeId id : sending)
        senders[id] = now;
    std::erase_if(senders, [&](const auto& it) { return now - it.second > senderRetention || (it.second != now && hasLeft(it.first)); });
    std::vector<NodeId> out;
    out.reserve(senders.size());
    for (const auto& [id, seenAt] : senders)
        out.push_back(id);
    return out;
}

}
