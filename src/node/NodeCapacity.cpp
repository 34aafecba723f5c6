#include "node/NodeCapacity.h"

#include "node/ForwardReport.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <algorithm>
#include <cmath>

namespace siskinshunt {

static constexpr TimeMs reportInterval { 1000 };
static constexpr TimeMs updateInterval { 250 };
static constexpr size_t maxReportBytes = 128;
// The rule allows 7 s from the end of a node to the last response that names it. The last report of a node was sent before its end.
static constexpr TimeMs maxReportAge { 4000 };
// A voter answers only if it has heard from half of the entry nodes within this time.
static constexpr TimeMs heardTime { 3000 };
// A node that has not reported for this long since it became known is of a build that does not report.
static constexpr TimeMs firstReportTime { 5000 };
// Gossip reaches each node only every few seconds, so this many nodes that do not report show that this voter is not cut off.
static constexpr size_t gossipersHeard = 5;
// One report may be lost with its connection. After that, the silence counts as lateness.
static constexpr TimeMs toleratedSilence { 2200 };
static constexpr double maxCpuShare = 1024;
static constexpr double maxLinkMbps = 1e6;
static constexpr uint64_t maxLatenessMs = 600000;
// Allows for 1 ms in 1 s of drift between two clocks, ten times that of common quartz clocks.
static constexpr int64_t driftDivisor = 1000;

void recordOwnLateness(Node& node, TimeMs late)
{
    recordLateness(node.nodeCapacity.lateness, node.options.settings.timings.tick, late);
}

static void reportOwn(Node& node)
{
    auto& state = node.nodeCapacity;
    if (node.now < state.nextReport)
        return;
    state.nextReport = node.now + reportInterval;
    const auto& capacity = node.options.settings.capacity;
    const NodeCapacityFrame frame {
        .process = processOf(node.membership.own.incarnation),
        .cpuShare = capacity.cpuShare,
        .linkMbps = capacity.linkMbps,
        .latenessMs = static_cast<uint64_t>(takeLateness(state.lateness).value),
        .inFlight = node.forward.calls.size(),
    };
    const std::string body = encode(frame);
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.voter && member.status.state <= MemberState::Suspect)
            sendFrame(node, id, FrameKind::NodeCapacity, {}, body);
    }
}

static bool isEntry(const Member& member)
{
    return !member.status.voter && !member.status.draining && member.status.state == MemberState::Alive;
}

// Starts anew for a later process: what an earlier one has reported says nothing of it.
static EntryReports& entryOf(Node& node, NodeId id, uint64_t process)
{
    auto& entry = node.nodeCapacity.entries[id];
    if (entry.process < process)
        entry = { .process = process, .knownSince = node.now };
    return entry;
}

// Time at which the report was sent, by the clock of this node. Reports that waited in a socket while this process was paused, or on a
// slow link, are recognised by their greater difference of receipt and sending.
static void recordSending(EntryReports& entry, TimeMs now, TimeMs sentAt)
{
    const TimeMs offset = now - sentAt;
    if (!entry.reports)
        entry.clockOffset = offset;
    else
        entry.clockOffset = std::min(offset, entry.clockOffset + std::max(now - entry.offsetAt, TimeMs {}) / driftDivisor);
    entry.reports = true;
    entry.offsetAt = now;
    entry.sentAt = std::max(entry.sentAt, sentAt + entry.clockOffset);
}

static double checkedValue(Node& node, double value, double limit)
{
    if (std::isfinite(value) && value >= 0 && value <= limit)
        return value;
    node.counters.add("node_capacity_values_dropped");
    return 0;
}

void receiveNodeCapacity(Node& node, NodeId from, TimeMs sentAt, std::string_view body)
{
    const auto frame = decodeOr<NodeCapacityFrame>(body, maxReportBytes);
    const Member* member = findMember(node.membership, from);
    if (!frame.process || !member || member->status.voter)
        return countDrop(node, DropReason::BadBody);
    // The new process is accepted when its member record is known, since its address may differ.
    if (frame.process != processOf(member->status.incarnation))
        return node.counters.add("node_capacity_reports_of_other_processes");
    auto& entry = entryOf(node, from, frame.process);
    recordSending(entry, node.now, sentAt);
    entry.capacity = { checkedValue(node, frame.cpuShare, maxCpuShare), checkedValue(node, frame.linkMbps, maxLinkMbps) };
    if (frame.latenessMs <= maxLatenessMs)
        entry.lateness = { static_cast<int64_t>(frame.latenessMs) };
    else
        node.counters.add("node_capacity_values_dropped");
    entry.inFlight = frame.inFlight;
}

// Whether the node is of a build that does not report, as far as is known.
static bool isSilentBuild(const EntryReports& entry, TimeMs now)
{
    return !entry.reports && now - entry.knownSince > firstReportTime;
}

// Whether this node has heard from half of the entry nodes within the time.
static bool hasHeard(const Node& node, TimeMs within)
{
    size_t reporters = 0;
    size_t heardReporters = 0;
    size_t others = 0;
    size_t heardOthers = 0;
    for (const auto& [id, member] : node.membership.members) {
        const auto it = node.nodeCapacity.entries.find(id);
        if (!isEntry(member))
            continue;
        if (it != node.nodeCapacity.entries.end() && isSilentBuild(it->second, node.now)) {
            ++others;
            heardOthers += node.now - member.lastHeard <= within ? 1 : 0;
            continue;
        }
        ++reporters;
        heardReporters += it != node.nodeCapacity.entries.end() && it->second.reports && node.now - it->second.sentAt <= within ? 1 : 0;
    }
    return 2 * heardReporters >= reporters && (2 * heardOthers >= others || heardOthers >= gossipersHeard);
}

static TimeMs latenessOf(const Node& node, const EntryReports& entry)
{
    if (!entry.reports)
        return {};
    const TimeMs silentSince = std::max(entry.sentAt, node.nodeCapacity.listeningSince);
    return std::max(entry.lateness, node.now - silentSince - toleratedSilence);
}

static void logStanding(Node& node, const Member& member, EntryReports& entry)
{
    const bool isLate = entry.standing.factor < 1;
    if (isLate == entry.isLate)
        return;
    entry.isLate = isLate;
    addLog(node, LogLevel::Info, isLate ? "entry_late" : "entry_punctual", Step::Receive, member.identity.name,
        isLate ? "the entry node runs late and gets fewer new clients" : "the entry node gets its usual part of the new clients again", { { "lateness_ms", std::to_string(latenessOf(node, entry).value) }, { "in_flight", std::to_string(entry.inFlight) } });
}

static void updateDomains(Node& node)
{
    auto& state = node.nodeCapacity;
    std::map<std::string, double> current;
    for (const auto& [id, entry] : state.entries) {
        const Member* member = findMember(node.membership, id);
        if (member && isEntry(*member))
            current[member->identity.domain] += entry.weight;
    }
    for (const auto& [name, weight] : current)
        state.domains.try_emplace(name);
    for (auto& [name, domain] : state.domains)
        updateDomainWeight(domain, node.now, current[name]);
    std::erase_if(state.domains, [](const auto& it) { return it.second.usual < 0.01; });
    for (const auto& [name, domain] : state.domains) {
        const double others = shareOfOtherDomains(state.domains, name);
        if ((others > 0) == state.shortSince.contains(name))
            continue;
        if (others > 0)
            state.shortSince[name] = node.now;
        else
            state.shortSince.erase(name);
        addLog(node, LogLevel::Info, others > 0 ? "domain_short" : "domain_whole", Step::Receive, name, others > 0 ? "the directory also names entry nodes of other failure domains" : "the directory names entry nodes of the failure domain only",
            { { "weight", std::to_string(domain.current) }, { "usual", std::to_string(domain.usual) } });
    }
}

static void updateEntries(Node& node)
{
    auto& state = node.nodeCapacity;
    if (node.now < state.nextUpdate)
        return;
    state.nextUpdate = node.now + updateInterval;
    std::erase_if(state.entries, [&](const auto& it) {
        const Member* member = findMember(node.membership, it.first);
        return !member || member->status.voter || member->status.state > MemberState::Suspect;
    });
    for (const auto& [id, member] : node.membership.members) {
        if (isEntry(member))
            entryOf(node, id, processOf(member.status.incarnation));
    }
    if (!hasHeard(node, toleratedSilence))
        state.listeningSince = node.now;
    std::vector<EntryCapacity> capacities;
    for (const auto& [id, entry] : state.entries)
        capacities.push_back(entry.capacity);
    const auto relative = relativeCapacities(capacities);
    size_t n = 0;
    for (auto& [id, entry] : state.entries) {
        updateStanding(entry.standing, node.now, latenessOf(node, entry));
        entry.weight = relative[n++] * entry.standing.factor;
        if (const Member* member = findMember(node.membership, id))
            logStanding(node, *member, entry);
    }
    // While this node is cut off, it is not the domains that have become short.
    if (knowsEntries(node))
        updateDomains(node);
}

void tickNodeCapacity(Node& node)
{
    if (node.options.voter)
        return updateEntries(node);
    if (acceptsCallers(node))
        reportOwn(node);
}

bool knowsEntries(const Node& node)
{
    return hasHeard(node, heardTime);
}

bool mayNameEntry(const Node& node, const Member& member)
{
    const auto it = node.nodeCapacity.entries.find(member.status.id);
    if (it == node.nodeCapacity.entries.end() || !isEntry(member) || it->second.process != processOf(member.status.incarnation))
        return false;
    const auto& entry = it->second;
    return entry.reports ? node.now - entry.sentAt <= maxReportAge : isSilentBuild(entry, node.now);
}

std::vector<std::string> nameEntries(Node& node, std::vector<EntryCandidate> candidates, const std::string& domain, const std::string& peer)
{
    auto& state = node.nodeCapacity;
    for (auto& it : candidates) {
        const auto entry = state.entries.find(it.id);
        it.weight = entry == state.entries.end() ? 1 : entry->second.weight;
    }
    const double others = shareOfOtherDomains(state.domains, domain);
    if (others > 0)
        node.counters.add("directory_short_domain");
    return chooseEntries(std::move(candidates), clientKey(state.clients, node.now, peer, node.options.settings.timings.entryValid), others);
}

}
