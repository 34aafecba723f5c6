#include "fleet/UpstreamTable.h"

#include "base/Invariant.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

namespace siskinshunt {

/// Maximum transit time of a leaving notice, during which its age does not increase.
static constexpr TimeMs maxNoticeTransit { 500 };

static void addSorted(std::vector<UpstreamId>& ids, UpstreamId id)
{
    const auto it = std::lower_bound(ids.begin(), ids.end(), id);
    if (it == ids.end() || *it != id)
        ids.insert(it, id);
}

static void removeFrom(std::map<std::string, std::vector<UpstreamId>, std::less<>>& index, const std::string& key, UpstreamId id)
{
    const auto it = index.find(key);
    if (it == index.end())
        return;
    std::erase(it->second, id);
    if (it->second.empty())
        index.erase(it);
}

static void addToIndexes(UpstreamTable& table, const Upstream& upstream)
{
    addSorted(table.byTarget[upstream.announced.model], upstream.id);
    addSorted(table.byDomain[upstream.announced.domain], upstream.id);
}

static void removeFromIndexes(UpstreamTable& table, const Upstream& upstream)
{
    removeFrom(table.byTarget, upstream.announced.model, upstream.id);
    removeFrom(table.byDomain, upstream.announced.domain, upstream.id);
}

static void appendChange(UpstreamTable& table, UpstreamChange change)
{
    if (table.journal.size() >= table.options.maxJournal) {
        const auto load = std::find_if(table.journal.begin(), table.journal.end(),
            [](const auto& it) { return it.kind == UpstreamChangeKind::Load; });
        ++table.journalDropped;
        if (load == table.journal.end())
            return;
        table.journal.erase(load);
    }
    table.journal.push_back(change);
}

static bool sameContent(const Announcement& a, const Announcement& b)
{
    return a.address == b.address && a.domain == b.domain && a.machine == b.machine && a.kind == b.kind && a.model == b.model
        && a.version == b.version && a.adapters == b.adapters && a.role == b.role && a.checksFencing == b.checksFencing
        && a.reclaimable == b.reclaimable;
}

static bool isLeaving(const Announcement& a) { return a.leaving || a.reclaimIn.has_value(); }

/// Merges an observation into the entry and returns whether its state changed.
static bool mergeObservation(Upstream& upstream, const Observation& observation)
{
    if (!observation.observer)
        return false;
    Observation* slot = nullptr;
    for (auto& it : upstream.observations) {
        if (it.observer == observation.observer)
            slot = &it;
    }
    if (slot) {
        // With equal sequences the withdrawal is newer: the observation became active when the announcement arrived.
        if (observation.sequence < slot->sequence || (observation.sequence == slot->sequence && (observation.active || !slot->active)))
            return false;
        const bool changed = slot->active != observation.active;
        *slot = observation;
        return changed;
    }
    // Replaces an unused slot, else a withdrawn observation, else the one with the lowest sequence.
    const auto rank = [](const Observation& it) { return std::tuple(static_cast<bool>(it.observer), it.active, it.sequence); };
    slot = &*std::min_element(upstream.observations.begin(), upstream.observations.end(),
        [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    *slot = observation;
    return true;
}

static bool hasActiveObservation(const Upstream& upstream)
{
    return std::any_of(upstream.observations.begin(), upstream.observations.end(), [](const auto& it) { return it.active; });
}

static Upstream& insertUpstream(UpstreamTable& table, UpstreamId id, const Announcement& announced)
{
    auto& upstream = table.entries[id];
    upstream = {};
    upstream.id = id;
    upstream.announced = announced;
    upstream.contentSequence = announced.sequence;
    addToIndexes(table, upstream);
    return upstream;
}

static void setLeaving(Upstream& upstream, TimeMs now, bool leaving, std::optional<TimeMs> reclaimIn, TimeMs leavingFor)
{
    upstream.announced.leaving = leaving;
    upstream.announced.reclaimIn = reclaimIn;
    if (!leaving && !reclaimIn) {
        upstream.leavingSince.reset();
        upstream.reclaimAt.reset();
        return;
    }
    const TimeMs since = now - leavingFor;
    upstream.leavingSince = std::min(upstream.leavingSince.value_or(since), since);
    if (reclaimIn)
        upstream.reclaimAt = std::min(upstream.reclaimAt.value_or(farFuture), now + *reclaimIn);
}

/// Replaces everything but the load and observations; the caller has checked the order.
static void replaceContent(UpstreamTable& table, Upstream& upstream, const Announcement& announced)
{
    removeFromIndexes(table, upstream);
    const UpstreamLoad load = upstream.announced.load;
    const uint64_t sequence = std::max(upstream.announced.sequence, announced.sequence);
    upstream.announced = announced;
    upstream.announced.load = load;
    upstream.announced.sequence = sequence;
    addToIndexes(table, upstream);
}

static UpsertResult findOrReject(UpstreamTable& table, UpstreamId id, const std::string& name, Upstream*& found)
{
    const auto it = table.entries.find(id);
    if (it == table.entries.end())
        return table.entries.size() >= table.options.maxUpstreams ? UpsertResult::Full : UpsertResult::Added;
    if (it->second.announced.name != name)
        return UpsertResult::Collision;
    found = &it->second;
    return UpsertResult::Changed;
}

static UpsertResult insertRecord(UpstreamTable& table, TimeMs now, UpstreamId id, const UpstreamRecord& record, bool local)
{
    if (const auto it = table.entries.find(id); it != table.entries.end())
        removeFromIndexes(table, it->second);
    auto& upstream = insertUpstream(table, id, record.announced);
    upstream.contentSequence = record.contentSequence;
    upstream.local = local;
    upstream.localSequence = local ? record.announced.sequence : 0;
    upstream.lastSeen = now;
    setLeaving(upstream, now, record.announced.leaving, record.announced.reclaimIn, record.leavingFor);
    for (const auto& observation : record.observations)
        mergeObservation(upstream, observation);
    appendChange(table, { UpstreamChangeKind::Record, id, {}, false });
    return UpsertResult::Added;
}

/// Applies changes other than the load; returns whether there were any.
static bool applyAnnouncedContent(UpstreamTable& table, Upstream& known, TimeMs now, const Announcement& announced)
{
    if (announced.sequence <= known.contentSequence)
        return false;
    const bool content = !sameContent(known.announced, announced);
    const bool notice = known.announced.leaving != announced.leaving || known.announced.reclaimIn.has_value() != announced.reclaimIn.has_value();
    if (content || notice) {
        replaceContent(table, known, announced);
        known.contentSequence = announced.sequence;
        appendChange(table, { UpstreamChangeKind::Record, known.id, table.self, !content });
    }
    setLeaving(known, now, announced.leaving, announced.reclaimIn, {});
    return content || notice;
}

static bool fitsRecord(const Announcement& announced)
{
    size_t sum = 0;
    size_t longest = 0;
    const auto count = [&](const std::string& text) {
        sum += text.size() + 1;
        longest = std::max(longest, text.size());
    };
    for (const auto* text : { &announced.name, &announced.address, &announced.domain, &announced.machine, &announced.model, &announced.version })
        count(*text);
    for (const auto& adapter : announced.adapters)
        count(adapter);
    return longest <= maxAnnouncedString && sum <= maxAnnouncedText && announced.adapters.size() <= 255;
}

UpsertResult upsertAnnouncement(UpstreamTable& table, TimeMs now, const Announcement& announced)
{
    if (!fitsRecord(announced))
        return UpsertResult::TooLarge;
    const auto id = idOfName<UpstreamId>(announced.name);
    Upstream* known = nullptr;
    const UpsertResult found = findOrReject(table, id, announced.name, known);
    if (found == UpsertResult::Collision || found == UpsertResult::Full)
        return found;
    const Observation observation { table.self, announced.sequence, true };
    if (!known || announced.incarnation > known->announced.incarnation)
        return insertRecord(table, now, id, { announced, announced.sequence, {}, { observation } }, true);
    if (announced.incarnation < known->announced.incarnation || announced.sequence <= known->localSequence)
        return UpsertResult::Stale;

    known->local = true;
    known->localSequence = announced.sequence;
    known->lastSeen = now;
    // A restored record was not sent to the other nodes.
    if (std::exchange(known->restoredUntil, std::nullopt))
        appendChange(table, { UpstreamChangeKind::Record, id, {}, false });
    const bool changed = applyAnnouncedContent(table, *known, now, announced);
    const bool observationChanged = mergeObservation(*known, observation);
    if (observationChanged)
        appendChange(table, { UpstreamChangeKind::Observation, id, table.self, true });
    if (announced.sequence > known->announced.sequence) {
        known->announced.sequence = announced.sequence;
        known->announced.load = announced.load;
        appendChange(table, { UpstreamChangeKind::Load, id, {}, false });
    }
    return changed || observationChanged ? UpsertResult::Changed : UpsertResult::LoadOnly;
}

UpsertResult restoreUpstream(UpstreamTable& table, TimeMs now, const Announcement& announced, bool observed)
{
    if (!fitsRecord(announced))
        return UpsertResult::TooLarge;
    const auto id = idOfName<UpstreamId>(announced.name);
    Upstream* known = nullptr;
    const UpsertResult found = findOrReject(table, id, announced.name, known);
    if (found != UpsertResult::Added)
        return known ? UpsertResult::Stale : found;
    insertRecord(table, now, id, { announced, announced.sequence, {}, {} }, false);
    auto& upstream = table.entries[id];
    upstream.localSequence = observed ? announced.sequence : 0;
    upstream.lastSeen = now - table.options.silenceWhenRestored;
    upstream.restoredUntil = upstream.lastSeen + table.options.noNewWorkAfter;
    return UpsertResult::Added;
}

static bool withdrawOwnObservation(UpstreamTable& table, Upstream& upstream, uint64_t sequence)
{
    upstream.local = false;
    if (!mergeObservation(upstream, { table.self, sequence, false }))
        return false;
    appendChange(table, { UpstreamChangeKind::Observation, upstream.id, table.self, true });
    return true;
}

/// Applies an observation that another node sent. A new active one updates lastSeen; withdrawing the last active one makes
/// the upstream stale at once.
static bool applyObservation(UpstreamTable& table, Upstream& upstream, TimeMs now, const Observation& observation)
{
    // Only this node knows what it observes: an observation from before its restart is withdrawn.
    if (observation.observer == table.self) {
        if (upstream.local || !observation.active)
            return false;
        // The upstream may announce itself to this node again, and a withdrawal would take it out of use at all nodes.
        if (upstream.restoredUntil && now <= *upstream.restoredUntil)
            return false;
        // Sent again even if it was withdrawn before, because the sender of the record has missed the withdrawal.
        if (!withdrawOwnObservation(table, upstream, observation.sequence))
            appendChange(table, { UpstreamChangeKind::Observation, upstream.id, table.self, true });
        if (!hasActiveObservation(upstream))
            upstream.lastSeen = std::min(upstream.lastSeen, now - table.options.noNewWorkAfter - 1_ms);
        return true;
    }
    const bool changed = mergeObservation(upstream, observation);
    if (!changed)
        return false;
    if (observation.active)
        upstream.lastSeen = std::max(upstream.lastSeen, now);
    else if (!hasActiveObservation(upstream))
        upstream.lastSeen = std::min(upstream.lastSeen, now - table.options.noNewWorkAfter - 1_ms);
    appendChange(table, { UpstreamChangeKind::Observation, upstream.id, observation.observer, true });
    return true;
}

UpsertResult upsertRecord(UpstreamTable& table, TimeMs now, const UpstreamRecord& record)
{
    const auto id = idOfName<UpstreamId>(record.announced.name);
    Upstream* known = nullptr;
    const UpsertResult found = findOrReject(table, id, record.announced.name, known);
    if (found == UpsertResult::Collision || found == UpsertResult::Full)
        return found;
    const bool hasObserver = std::any_of(record.observations.begin(), record.observations.end(), [](const auto& it) { return it.active; });
    if (!hasObserver && !record.observations.empty())
        return known ? UpsertResult::Stale : restoreUpstream(table, now, record.announced, false);
    if (!known && !hasObserver)
        return UpsertResult::Stale;
    if (!known || record.announced.incarnation > known->announced.incarnation) {
        UpstreamRecord content = record;
        content.observations.clear();
        insertRecord(table, now, id, content, false);
        for (const auto& observation : record.observations)
            applyObservation(table, table.entries[id], now, observation);
        return UpsertResult::Added;
    }
    if (record.announced.incarnation < known->announced.incarnation)
        return UpsertResult::Stale;
    bool changed = false;
    if (record.contentSequence > known->contentSequence) {
        changed = !sameContent(known->announced, record.announced) || isLeaving(known->announced) != isLeaving(record.announced);
        replaceContent(table, *known, record.announced);
        known->contentSequence = record.contentSequence;
        setLeaving(*known, now, record.announced.leaving, record.announced.reclaimIn, record.leavingFor);
        appendChange(table, { UpstreamChangeKind::Record, id, {}, false });
    }
    bool observationChanged = false;
    for (const auto& observation : record.observations)
        observationChanged = applyObservation(table, *known, now, observation) || observationChanged;
    return changed || observationChanged ? UpsertResult::Changed : UpsertResult::Stale;
}

UpsertResult applyNotice(UpstreamTable& table, TimeMs now, const UpstreamNotice& notice)
{
    const auto it = table.entries.find(notice.id);
    if (it == table.entries.end() || static_cast<uint32_t>(it->second.announced.incarnation) != notice.incarnation)
        return UpsertResult::Stale;
    auto& upstream = it->second;
    bool changed = false;
    if (notice.contentSequence > upstream.contentSequence) {
        upstream.contentSequence = notice.contentSequence;
        setLeaving(upstream, now, notice.leaving, notice.reclaimIn, notice.leavingFor);
        appendChange(table, { UpstreamChangeKind::Record, notice.id, {}, true });
        changed = true;
    }
    const bool observationChanged = applyObservation(table, upstream, now, notice.observation);
    return changed || observationChanged ? UpsertResult::Changed : UpsertResult::Stale;
}

UpsertResult applyLoad(UpstreamTable& table, const LoadDelta& delta)
{
    const auto it = table.entries.find(delta.id);
    if (it == table.entries.end())
        return UpsertResult::Stale;
    auto& announced = it->second.announced;
    const auto ahead = static_cast<int32_t>(delta.sequence - static_cast<uint32_t>(announced.sequence));
    if (static_cast<uint32_t>(announced.incarnation) != delta.incarnation || ahead <= 0)
        return UpsertResult::Stale;
    announced.sequence += static_cast<uint64_t>(ahead);
    announced.load = { .running = delta.running,
        .waiting = delta.waiting,
        .capacity = delta.capacity,
        .cachedTokens = delta.cachedTokens,
        .waitingTokens = delta.waitingTokens,
        .tokensPerSecond = delta.tokensPerSecond,
        .prefillTokensPerSecond = delta.prefillTokensPerSecond };
    // A load report may be seconds old when it arrives, so it does not update lastSeen.
    appendChange(table, { UpstreamChangeKind::Load, delta.id, {}, false });
    return UpsertResult::LoadOnly;
}

static Observation observationBy(const Upstream& upstream, NodeId observer)
{
    const auto it = std::find_if(upstream.observations.begin(), upstream.observations.end(), [&](const auto& observation) { return observation.observer == observer; });
    return observer && it != upstream.observations.end() ? *it : Observation {};
}

static std::optional<TimeMs> timeUntilReclaim(const Upstream& upstream, TimeMs now)
{
    if (!upstream.reclaimAt)
        return std::nullopt;
    return std::max(0_ms, *upstream.reclaimAt - now);
}

UpstreamRecord recordOf(const Upstream& upstream, TimeMs now)
{
    UpstreamRecord record { upstream.announced, upstream.contentSequence, {}, {} };
    std::copy_if(upstream.observations.begin(), upstream.observations.end(), std::back_inserter(record.observations), [](const auto& it) { return it.active; });
    record.announced.reclaimIn = timeUntilReclaim(upstream, now);
    record.leavingFor = upstream.leavingSince ? now - *upstream.leavingSince : 0_ms;
    return record;
}

UpstreamRecord restoredRecordOf(const Upstream& upstream, TimeMs now, NodeId sender)
{
    UpstreamRecord record = recordOf(upstream, now);
    record.observations = { { sender, upstream.contentSequence, false } };
    return record;
}

UpstreamNotice noticeOf(const Upstream& upstream, TimeMs now, NodeId observer)
{
    return { .id = upstream.id,
        .incarnation = static_cast<uint32_t>(upstream.announced.incarnation),
        .contentSequence = upstream.contentSequence,
        .leaving = upstream.announced.leaving,
        .reclaimIn = timeUntilReclaim(upstream, now),
        .leavingFor = upstream.leavingSince ? now - *upstream.leavingSince : 0_ms,
        .observation = observationBy(upstream, observer) };
}

template <class To, class From>
static To clamped(From value)
{
    return static_cast<To>(std::min<uint64_t>(value, std::numeric_limits<To>::max()));
}

LoadDelta loadOf(const Upstream& upstream)
{
    const auto& load = upstream.announced.load;
    return { .id = upstream.id,
        .incarnation = static_cast<uint32_t>(upstream.announced.incarnation),
        .sequence = static_cast<uint32_t>(upstream.announced.sequence),
        .running = clamped<uint16_t>(load.running),
        .waiting = clamped<uint16_t>(load.waiting),
        .capacity = clamped<uint16_t>(load.capacity),
        .cachedTokens = clamped<uint32_t>(load.cachedTokens),
        .waitingTokens = clamped<uint32_t>(load.waitingTokens),
        .tokensPerSecond = static_cast<float>(load.tokensPerSecond),
        .prefillTokensPerSecond = static_cast<float>(load.prefillTokensPerSecond) };
}

void expireUpstreams(UpstreamTable& table, TimeMs now, const std::function<bool(NodeId)>& isAlive)
{
    for (auto it = table.entries.begin(); it != table.entries.end();) {
        auto& upstream = it->second;
        const TimeMs silence = now - upstream.lastSeen;
        if (upstream.local && silence > table.options.noNewWorkAfter)
            withdrawOwnObservation(table, upstream, upstream.localSequence);
        if (upstream.restoredUntil && now > *upstream.restoredUntil) {
            upstream.restoredUntil.reset();
            if (upstream.localSequence)
                withdrawOwnObservation(table, upstream, upstream.localSequence);
        }
        if (!upstream.local && isObserved(table, upstream, isAlive))
            upstream.lastSeen = now;
        if (now - upstream.lastSeen <= table.options.removeAfter) {
            ++it;
            continue;
        }
        appendChange(table, { UpstreamChangeKind::Removed, upstream.id, {}, false });
        removeFromIndexes(table, upstream);
        it = table.entries.erase(it);
    }
}

bool isObserved(const UpstreamTable& table, const Upstream& upstream, const std::function<bool(NodeId)>& isAlive)
{
    return std::any_of(upstream.observations.begin(), upstream.observations.end(),
        [&](const auto& it) { return it.active && (it.observer == table.self ? upstream.local : isAlive(it.observer)); });
}

bool acceptsNewWork(const Upstream& upstream, TimeMs now, TimeMs drainWithin, TimeMs noNewWorkAfter)
{
    if (now - upstream.lastSeen > noNewWorkAfter)
        return false;
    if (upstream.reclaimAt && now >= *upstream.reclaimAt)
        return false;
    return !upstream.leavingSince || now - *upstream.leavingSince + maxNoticeTransit < drainWithin;
}

const Upstream* findUpstream(const UpstreamTable& table, UpstreamId id)
{
    const auto it = table.entries.find(id);
    return it == table.entries.end() ? nullptr : &it->second;
}

std::span<const UpstreamId> upstreamsOf(const UpstreamTable& table, std::string_view modelOrService)
{
    const auto it = table.byTarget.find(modelOrService);
    return it == table.byTarget.end() ? std::span<const UpstreamId> {} : std::span<const UpstreamId>(it->second);
}

std::span<const UpstreamId> upstreamsInDomain(const UpstreamTable& table, std::string_view domain)
{
    const auto it = table.byDomain.find(domain);
    return it == table.byDomain.end() ? std::span<const UpstreamId> {} : std::span<const UpstreamId>(it->second);
}

std::vector<UpstreamChange> consumeJournal(UpstreamTable& table)
{
    const auto rank = [](const UpstreamChange& it) {
        return it.kind == UpstreamChangeKind::Load ? 2 : it.kind == UpstreamChangeKind::Observation ? 1
                                                                                                    : 0;
    };
    std::stable_sort(table.journal.begin(), table.journal.end(), [&](const auto& a, const auto& b) { return rank(a) < rank(b); });
    return std::exchange(table.journal, {});
}

uint64_t digestOf(const Upstream& upstream)
{
    uint64_t observations = 0;
    for (const auto& it : upstream.observations) {
        if (it.active)
            observations ^= combineHash(it.observer.value, 1);
    }
    return combineHash(combineHash(upstream.id.value, upstream.announced.incarnation), combineHash(upstream.contentSequence, observations));
}

}
