#include "routing/VersionSplit.h"

#include "base/Invariant.h"

#include <algorithm>

namespace siskinshunt {

namespace {
    /// Maximum credit in calls, which a version accumulates outside its full-load phase. A limit of 256 lost part of the share
    /// at 1000 calls/s; the phases already bound the share over each period, so a larger value is safe.
    constexpr double maxCredit = 4096;

    bool hasRouteShares(const VersionSplit& split, std::string_view model, std::string_view route)
    {
        return !route.empty() && std::any_of(split.shares.begin(), split.shares.end(), [&](const auto& it) { return it.model == model && it.route == route; });
    }

    bool appliesTo(const VersionShare& share, std::string_view model, std::string_view route, bool routeHasShares)
    {
        return share.model == model && (routeHasShares ? share.route == route : share.route.empty());
    }

    /// Probability that a call goes to the version's upstream: an equal share of the pool's load during the full-load phase,
    /// 0 outside it.
    double fullLoadProbability(double share, uint32_t poolSize, TimeMs sharedNow)
    {
        const double fairShare = 1.0 / std::max<uint32_t>(poolSize, 1);
        const double phase = static_cast<double>(sharedNow.value % fullLoadPeriod.value) / static_cast<double>(fullLoadPeriod.value);
        return phase < share / fairShare ? fairShare : 0;
    }
}

void setShares(VersionSplit& split, std::vector<VersionShare> shares)
{
    std::vector<ShareCredit> credits;
    for (const auto& it : shares) {
        INVARIANT(it.share >= 0 && it.share <= 1, "version share in range", "version", it.version, "share", it.share);
        double calls = 0;
        for (size_t n = 0; n < split.shares.size(); ++n) {
            const auto& old = split.shares[n];
            if (old.model == it.model && old.version == it.version && old.route == it.route)
                calls = split.credits[n].calls;
        }
        credits.push_back({ it.version, calls });
    }
    split.shares = std::move(shares);
    split.credits = std::move(credits);
}

bool hasShares(const VersionSplit& split, std::string_view model)
{
    return std::any_of(split.shares.begin(), split.shares.end(), [&](const auto& it) { return it.model == model; });
}

bool isFallbackVersion(const VersionSplit& split, std::string_view model, std::string_view route, std::string_view version)
{
    const bool own = hasRouteShares(split, model, route);
    return std::any_of(split.shares.begin(), split.shares.end(), [&](const auto& it) {
        return appliesTo(it, model, route, own) && it.version == version && it.share > 0 && !it.fullLoadUpstream;
    });
}

VersionPick pickVersion(VersionSplit& split, std::string_view model, std::string_view route, uint32_t poolSize, TimeMs sharedNow, Random& random)
{
    const bool routeHasShares = hasRouteShares(split, model, route);
    double sum = 0;
    for (size_t n = 0; n < split.shares.size(); ++n) {
        const auto& share = split.shares[n];
        if (!appliesTo(share, model, route, routeHasShares))
            continue;
        if (!share.fullLoadUpstream) {
            sum += share.share;
            continue;
        }
        // The credit limits the version to its share of all calls, independently of the phases and the pool size.
        auto& credit = split.credits[n];
        credit.calls = std::min(maxCredit, credit.calls + share.share);
        if (credit.calls < 1 || !random.chance(fullLoadProbability(share.share, poolSize, sharedNow)))
            continue;
        credit.calls -= 1;
        return { share.version, share.fullLoadUpstream };
    }
    double remaining = random.uniform() * sum;
    for (const auto& share : split.shares) {
        if (!appliesTo(share, model, route, routeHasShares) || share.fullLoadUpstream || share.share <= 0)
            continue;
        remaining -= share.share;
        if (remaining < 0)
            return { share.version, {} };
    }
    return {};
}

}
