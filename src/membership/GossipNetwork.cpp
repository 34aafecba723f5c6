#include "membership/GossipNetwork.h"

#include <algorithm>

namespace siskinshunt {

static constexpr TimeMs stepInterval { 20 };

GossipNetwork::GossipNetwork(uint64_t seed, GossipLink link)
    : link(link)
    , m_random(seed)
{
}

size_t GossipNetwork::add(const std::string& name, const std::string& domain)
{
    const size_t n = hosts.size();
    const std::string ip = "10." + std::to_string(n / 65536) + "." + std::to_string(n / 256 % 256) + "." + std::to_string(n % 256);
    Host host;
    host.options.identity = { name, ip + ":7400", ip + ":7401", ip + ":7402", domain };
    host.options.cluster = 42;
    host.options.key = { "a key for tests that is 32 bytes" };
    host.options.seed = m_random.next();
    for (size_t k = 0; k < std::min<size_t>(n, 3); ++k)
        host.options.seeds.push_back(hosts[k].options.identity.udpAddress);
    m_byAddress[host.options.identity.udpAddress] = n;
    m_byAddress[host.options.identity.tcpAddress] = n;
    hosts.push_back(std::move(host));
    start(n);
    return n;
}

void GossipNetwork::start(size_t n)
{
    auto& host = hosts[n];
    host.options.startedAtUtc = utcBase + now;
    host.paused = false;
    host.node = std::make_unique<Membership>(makeMembership(host.options, now));
}

void GossipNetwork::addConverged(size_t count, size_t domains)
{
    for (size_t n = 0; n < count; ++n)
        add("node" + std::to_string(n), "domain" + std::to_string(n % domains));
    std::vector<MemberRecord> records;
    for (const auto& host : hosts)
        records.push_back(ownRecord(*host.node));
    for (auto& host : hosts) {
        MembershipOutputs ignored;
        learnMembers(*host.node, now, records, ignored);
        host.node->memberDeltas = DeltaQueue();
    }
}

void GossipNetwork::send(size_t from, size_t to, Packet packet)
{
    hosts[from].bytesThisSecond += packet.bytes.size() + (packet.frame ? 4 + envelopeOverhead + 40 : 28);
    if (hosts[from].partition != hosts[to].partition || (!packet.frame && m_random.chance(link.loss)))
        return;
    packet.from = from;
    packet.to = to;
    const auto arrival = [&] { return now + TimeMs { m_random.between(link.minDelay.value, link.maxDelay.value) }; };
    if (!packet.frame && m_random.chance(link.duplicate))
        m_inFlight.emplace(arrival(), packet);
    m_inFlight.emplace(arrival(), std::move(packet));
}

void GossipNetwork::flush(size_t from)
{
    auto& host = hosts[from];
    for (auto& it : outputs.datagrams) {
        const auto to = m_byAddress.find(it.address);
        if (to != m_byAddress.end())
            send(from, to->second, { .bytes = std::move(it.bytes) });
    }
    for (auto& it : outputs.frames) {
        const auto to = m_byAddress.find(it.address);
        if (to != m_byAddress.end())
            send(from, to->second, { .frame = true, .kind = it.kind, .bytes = std::move(it.body) });
    }
    host.events.insert(host.events.end(), outputs.events.begin(), outputs.events.end());
    outputs = {};
}

void GossipNetwork::deliver(Packet& packet)
{
    auto& host = hosts[packet.to];
    if (!host.node || host.paused || host.partition != hosts[packet.from].partition)
        return;
    host.bytesThisSecond += packet.bytes.size() + (packet.frame ? 4 + envelopeOverhead + 40 : 28);
    const auto from = hosts[packet.from].options.identity;
    const DropReason reason = packet.frame
        ? receiveTableFrame(*host.node, now, idOfName<NodeId>(from.name), packet.kind, packet.bytes, outputs)
        : receive(*host.node, now, from.udpAddress, packet.bytes, outputs);
    if (reason != DropReason::None)
        ++host.drops[reason];
    flush(packet.to);
}

void GossipNetwork::endSecond()
{
    for (auto& host : hosts) {
        host.peakBytesPerSecond = std::max(host.peakBytesPerSecond, host.bytesThisSecond);
        host.totalBytes += host.bytesThisSecond;
        host.bytesThisSecond = 0;
    }
}

void GossipNetwork::clearTraffic()
{
    for (auto& host : hosts)
        host.bytesThisSecond = host.peakBytesPerSecond = host.totalBytes = 0;
}

void GossipNetwork::run(TimeMs duration, const std::function<void()>& afterStep)
{
    for (const TimeMs end = now + duration; now < end;) {
        now += stepInterval;
        while (!m_inFlight.empty() && m_inFlight.begin()->first <= now) {
            Packet packet = std::move(m_inFlight.begin()->second);
            m_inFlight.erase(m_inFlight.begin());
            deliver(packet);
        }
        for (size_t n = 0; n < hosts.size(); ++n) {
            if (!hosts[n].node || hosts[n].paused)
                continue;
            tick(*hosts[n].node, now, outputs);
            flush(n);
        }
        if (afterStep)
            afterStep();
        if (now.value % 1000 == 0)
            endSecond();
    }
}

std::string GossipNetwork::describeDivergence(const std::vector<size_t>& live) const
{
    std::vector<NodeId> expected;
    expected.reserve(live.size());
    for (const size_t n : live)
        expected.push_back(idOfName<NodeId>(hosts[n].options.identity.name));
    std::sort(expected.begin(), expected.end());
    for (const size_t n : live) {
        const auto& host = hosts[n];
        const auto seen = host.node ? liveMembers(*host.node) : std::vector<NodeId> {};
        if (seen != expected)
            return host.options.identity.name + " sees " + std::to_string(seen.size()) + " alive, expected " + std::to_string(expected.size());
    }
    return {};
}

bool GossipNetwork::hasConverged(const std::vector<size_t>& live) const { return describeDivergence(live).empty(); }

}
