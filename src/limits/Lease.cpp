#include "limits/Lease.h"

#include "base/Invariant.h"

#include <algorithm>

namespace siskinshunt {

namespace {
    /// Sum of the shares that nodes other than the given one can still be using.
    double sharesOfOthers(const std::map<NodeId, GrantedShare>& nodes, NodeId self, TimeMs now)
    {
        double sum = 0;
        for (const auto& [node, granted] : nodes)
            sum += node != self && granted.expiresAt > now ? granted.share : 0;
        return sum;
    }

    /// While total demand is below the limit, each holder receives its demand and an equal share of the remainder, so that an
    /// idle node does not refuse calls. Above the limit, shares are proportional to demand except for a small fraction that
    /// is divided equally among all holders.
    double targetShare(const LeaseGrantor& grantor, const std::map<NodeId, GrantedShare>& nodes, NodeId self)
    {
        double demand = 0;
        for (const auto& [node, granted] : nodes)
            demand += granted.demand;
        const auto holders = static_cast<double>(std::max<size_t>(nodes.size(), grantor.nodes));
        const double own = nodes.at(self).demand;
        const double idleFraction = grantor.options.minimumShare;
        if (demand <= 1 - idleFraction)
            return own + (1 - demand) / holders;
        return idleFraction / holders + (1 - idleFraction) * own / demand;
    }
}

double shareInForce(const LeaseHolder& holder, TimeMs now)
{
    return now < holder.expiresAt ? holder.share : 1.0 / std::max<uint32_t>(holder.nodes, 1);
}

void recordNodeCount(LeaseHolder& holder, uint32_t nodes)
{
    holder.nodes = std::max(holder.nodes, nodes);
}

void recordDemand(LeaseHolder& holder, double n)
{
    holder.arrivals += n;
}

bool nextRequest(LeaseHolder& holder, const LeaseOptions& options, NodeId self, const LimitKey& key, TimeMs now, LeaseRequest& out)
{
    const TimeMs elapsed = now - holder.lastRequest;
    if (elapsed < options.interval)
        return false;
    constexpr double weight = 0.5; // Demand adapts to a change within about three intervals.
    const double seconds = std::min(elapsed, options.interval * 4).seconds();
    holder.demand += weight * (holder.arrivals / seconds - holder.demand);
    holder.arrivals = 0;
    holder.lastRequest = now;
    ++holder.sequence;
    holder.outstanding = true;
    out = { self, key, holder.sequence, holder.demand, now < holder.expiresAt ? holder.share : 0 };
    return true;
}

bool handleGrant(LeaseHolder& holder, const LeaseGrant& grant, TimeMs now)
{
    // A grant for an earlier request can exceed the share reported by the latest request, which the grantor relies on.
    if (!holder.outstanding || grant.sequence != holder.sequence)
        return false;
    holder.outstanding = false;
    const TimeMs expiresAt = holder.lastRequest + grant.validity;
    if (expiresAt <= now)
        return false;
    holder.share = grant.share;
    holder.expiresAt = expiresAt;
    recordNodeCount(holder, grant.nodes);
    return true;
}

std::optional<LeaseGrant> grant(LeaseGrantor& grantor, const LeaseRequest& request, TimeMs now)
{
    const TimeMs lifetime = grantor.options.validity + grantor.options.clockSlack;
    const bool predecessorCanHoldGrants = now < grantor.startedAt + lifetime;
    if (predecessorCanHoldGrants && request.share <= 0)
        return std::nullopt;
    auto& nodes = grantor.limits[request.key];
    auto& granted = nodes[request.node];
    if (request.sequence <= granted.sequence && granted.expiresAt > now)
        return std::nullopt;
    granted.sequence = request.sequence;
    granted.demand = std::max(0.0, request.demand);
    granted.lastRequest = now;
    const double free = std::max(0.0, 1 - sharesOfOthers(nodes, request.node, now));
    // Grants of the predecessor that have not been reported yet are unknown, so no share is increased until they expire.
    const double desiredShare = predecessorCanHoldGrants ? std::clamp(request.share, 0.0, 1.0) : targetShare(grantor, nodes, request.node);
    const double share = std::min(desiredShare, free);
    // If the grant is lost, the holder keeps using the share it reported until that expires.
    granted.share = std::max(share, request.share);
    granted.expiresAt = now + lifetime;
    const double sum = grantedSum(grantor, request.key, now);
    INVARIANT(sum <= 1 + 1e-6 || now < grantor.startedAt + lifetime * 2, "shares in use sum to at most the limit", "key", request.key, "sum", sum);
    return LeaseGrant { request.key, request.sequence, share, grantor.options.validity, static_cast<uint32_t>(nodes.size()) };
}

void expireGrants(LeaseGrantor& grantor, TimeMs now)
{
    for (auto& [key, nodes] : grantor.limits)
        std::erase_if(nodes, [&](const auto& it) { return it.second.expiresAt <= now && it.second.lastRequest + grantor.options.validity <= now; });
    std::erase_if(grantor.limits, [](const auto& it) { return it.second.empty(); });
}

double grantedSum(const LeaseGrantor& grantor, const LimitKey& key, TimeMs now)
{
    const auto it = grantor.limits.find(key);
    return it == grantor.limits.end() ? 0 : sharesOfOthers(it->second, {}, now);
}

}
