#include "forward/FairAdmission.h"

#include "base/Hash.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <numeric>
#include <vector>

namespace siskinshunt {

// Time constant of the meters. The sum over all nodes is smooth enough, and a longer one would delay the reaction to a burst.
static constexpr double meterMs = 300;
// Rates below this are those of accounts that offer nothing any more.
static constexpr double minRate = 0.01;
// Urgency levels with a smaller part of the offered work say too little of the backlog.
static constexpr double leastFraction = 0.03;
// An engine that does only more urgent work would let the others wait for ever; the bound keeps the ratio finite.
static constexpr double minFreeFraction = 0.15;
// Expected wait relative to the target at which a backend is under pressure. Callers are still served in time at 1.
static constexpr double pressureRatio = 0.7;
// The same while more is offered than the capacity that was measured.
static constexpr double earlyPressureRatio = 0.2;
static constexpr double earlyPressureDemand = 1.05;
// The pressure ends when the expected wait is below the ratio, and the demand below the fraction of the capacity, for the time.
static constexpr double calmRatio = 0.4;
static constexpr double calmDemand = 0.95;
static constexpr TimeMs calmTime { 500 };
// Part of the engines that must be busy for the capacity to be measured.
static constexpr double busyFraction = 0.9;
// Time constant of the measured capacity.
static constexpr double capacityMs = 700;
// Engines slow down to a fifth; the bounds keep a wrong measurement from stopping the work or from admitting everything.
static constexpr double minWorkPerEngine = 150;
static constexpr double maxWorkPerEngine = 5000;
// The admitted rate is the capacity times 1 plus the gain times the deviation of the expected wait from this ratio, within bounds. With a higher
// gain, the wait swings when reports are half a second old.
static constexpr double wantedRatio = 0.35;
static constexpr double correctionGain = 0.6;
static constexpr double minCorrection = 0.5;
static constexpr double maxCorrection = 1.2;
// What accounts above their share keep of the capacity that the others leave, however long the backlog is.
static constexpr double minLeftFraction = 0.3;
// Work that an account may offer beyond its share before it is limited.
static constexpr double maxReserveMs = 1000;
// Fraction of an account's share that is divided evenly among its urgency levels.
static constexpr double evenFraction = 0.1;
// Parts are not used any longer after this time.
static constexpr TimeMs shareExpiry { 1000 };
static constexpr TimeMs creditRetention { 10000 };
// Callers honour a time to return up to a third of the time that they have left, which is a few seconds.
static constexpr double maxReturnMs = 5000;
static constexpr double minReturnMs = 100;
// A caller goes first if it returns within this time around the one that it was told.
static constexpr TimeMs earlyReturn { 30 };
static constexpr TimeMs lateReturn { 1000 };
static constexpr size_t maxCredits = 4096;
static constexpr size_t maxPromises = 4096;

double sumOf(const WorkByUrgency& work)
{
    return std::accumulate(work.begin(), work.end(), 0.0);
}

double BackendWork::offeredSum() const
{
    double sum = 0;
    for (const auto& [account, work] : offered)
        sum += sumOf(work);
    return sum;
}

BackendWork& BackendWork::operator+=(const BackendWork& other)
{
    for (const auto& [account, work] : other.offered) {
        auto& it = offered[account];
        for (size_t n = 0; n < work.size(); ++n)
            it[n] += work[n];
    }
    for (size_t n = 0; n < served.size(); ++n) {
        served[n] += other.served[n];
        targets[n] += other.targets[n];
    }
    return *this;
}

static void decay(WorkMeter& meter, TimeMs now)
{
    if (now <= meter.updated)
        return;
    const double factor = std::exp(-static_cast<double>((now - meter.updated).value) / meterMs);
    meter.updated = now;
    for (auto& [account, work] : meter.sums.offered) {
        for (double& it : work)
            it *= factor;
    }
    for (size_t n = 0; n < meter.sums.served.size(); ++n) {
        meter.sums.served[n] *= factor;
        meter.sums.targets[n] *= factor;
    }
}

static constexpr double rateOf(double workMs)
{
    return workMs * 1000 / meterMs;
}

void recordOffer(WorkMeter& meter, TimeMs now, const std::string& account, int urgency, double workMs, TimeMs routeTarget)
{
    decay(meter, now);
    meter.sums.offered[account][static_cast<size_t>(urgency)] += rateOf(workMs);
    meter.sums.targets[static_cast<size_t>(urgency)] += rateOf(workMs) * static_cast<double>(routeTarget.value);
}

void recordServed(WorkMeter& meter, TimeMs now, int urgency, double workMs)
{
    decay(meter, now);
    meter.sums.served[static_cast<size_t>(urgency)] += rateOf(workMs);
}

BackendWork measuredWork(WorkMeter& meter, TimeMs now)
{
    decay(meter, now);
    std::erase_if(meter.sums.offered, [](const auto& it) { return sumOf(it.second) < minRate; });
    return meter.sums;
}

static double weightOf(const std::map<std::string, double>& weights, const std::string& account)
{
    const auto it = weights.find(account);
    return it == weights.end() || it->second <= 0 ? 1 : it->second;
}

double waterLevel(const std::map<std::string, double>& demands, const std::map<std::string, double>& weights, double capacity)
{
    struct Entry {
        double level = 0; ///< At which the demand is met.
        double weight = 0;
        double demand = 0;
    };
    std::vector<Entry> entries;
    double openWeight = 0;
    for (const auto& [account, demand] : demands) {
        const double weight = weightOf(weights, account);
        entries.push_back({ demand / weight, weight, demand });
        openWeight += weight;
    }
    std::sort(entries.begin(), entries.end(), [](const Entry& a, const Entry& b) { return a.level < b.level; });
    double left = std::max(0.0, capacity);
    for (const Entry& it : entries) {
        if (it.level * openWeight > left)
            return left / openWeight;
        left -= it.demand;
        openWeight -= it.weight;
    }
    return std::numeric_limits<double>::infinity();
}

// Max-min among the urgency levels of one account.
static WorkByUrgency divideEvenly(const WorkByUrgency& offered, double share)
{
    std::map<std::string, double> demands;
    for (size_t n = 0; n < offered.size(); ++n)
        demands[std::to_string(n)] = offered[n];
    const double level = waterLevel(demands, {}, share);
    WorkByUrgency out {};
    for (size_t n = 0; n < offered.size(); ++n)
        out[n] = std::min(offered[n], level);
    return out;
}

WorkByUrgency divideShare(const WorkByUrgency& offered, double share)
{
    WorkByUrgency admitted = divideEvenly(offered, share * evenFraction);
    double left = share - sumOf(admitted);
    WorkByUrgency parts {};
    for (size_t n = 0; n < offered.size(); ++n) {
        const double more = std::clamp(left, 0.0, offered[n] - admitted[n]);
        left -= more;
        parts[n] = offered[n] > minRate ? std::min(1.0, (admitted[n] + more) / offered[n]) : 1;
    }
    return parts;
}

double waitRatio(const BackendWork& work, const BackendEngines& engines, double workPerEngine)
{
    WorkByUrgency offered {};
    for (const auto& [account, it] : work.offered) {
        for (size_t n = 0; n < it.size(); ++n)
            offered[n] += it[n];
    }
    const double least = std::max(minRate, sumOf(offered) * leastFraction);
    const double capacity = std::max(minRate, workPerEngine * engines.count);
    double out = 0;
    double moreUrgent = 0;
    for (size_t n = 0; n < offered.size(); ++n) {
        const double target = offered[n] > least ? work.targets[n] / offered[n] : 0;
        const double wait = engines.backlogMs[n] / std::max(minFreeFraction, 1 - moreUrgent / capacity);
        out = target > 0 ? std::max(out, wait / target) : out;
        moreUrgent += work.served[n];
    }
    return out;
}

static double capacityOf(const BackendPressure& pressure, double engines)
{
    return pressure.workPerEngine * engines;
}

static void measureCapacity(BackendPressure& pressure, TimeMs now, const BackendWork& work, const BackendEngines& engines)
{
    const double elapsed = std::clamp(static_cast<double>((now - pressure.updated).value), 0.0, capacityMs);
    pressure.updated = now;
    // While some engines are idle, the work done says little of what they can do.
    if (engines.count <= 0 || engines.busy < engines.count * busyFraction)
        return;
    const double measured = std::clamp(sumOf(work.served) / engines.busy, minWorkPerEngine, maxWorkPerEngine);
    // An engine also counts as busy while an answer is on its way, so less than expected is believed only if requests have to wait.
    if (measured < pressure.workPerEngine && waitRatio(work, engines, pressure.workPerEngine) < wantedRatio)
        return;
    pressure.workPerEngine += (measured - pressure.workPerEngine) * (1 - std::exp(-elapsed / capacityMs));
}

void updatePressure(BackendPressure& pressure, TimeMs now, const BackendWork& work, const BackendEngines& engines)
{
    measureCapacity(pressure, now, work, engines);
    const double ratio = waitRatio(work, engines, pressure.workPerEngine);
    const double capacity = capacityOf(pressure, engines.count);
    const double demand = work.offeredSum();
    if (!pressure.underPressure) {
        pressure.underPressure = ratio > pressureRatio || (ratio > earlyPressureRatio && demand > capacity * earlyPressureDemand);
        pressure.calmSince = {};
        return;
    }
    if (ratio >= calmRatio || demand >= capacity * calmDemand) {
        pressure.calmSince = {};
        return;
    }
    if (!pressure.calmSince.value)
        pressure.calmSince = now;
    pressure.underPressure = now - pressure.calmSince < calmTime;
}

double admissibleWork(const BackendPressure& pressure, const BackendWork& work, const BackendEngines& engines)
{
    return capacityOf(pressure, engines.count) * std::clamp(1 + correctionGain * (wantedRatio - waitRatio(work, engines, pressure.workPerEngine)), minCorrection, maxCorrection);
}

// Whether the account offers more than its share, and has done so for longer than its reserve lasts.
static bool exceedsShare(BackendPressure& pressure, const std::string& account, double demand, double share, double elapsedSeconds)
{
    double& reserve = pressure.reserves.try_emplace(account, maxReserveMs).first->second;
    // The share is infinite while all demands fit.
    reserve = std::isinf(share) ? maxReserveMs : std::clamp(reserve + (share - demand) * elapsedSeconds, 0.0, maxReserveMs);
    return demand > share && reserve <= 0;
}

AdmittedParts computeShares(BackendPressure& pressure, TimeMs now, const BackendWork& work, const BackendEngines& engines, const std::map<std::string, double>& weights)
{
    if (!pressure.underPressure) {
        pressure.reserves.clear();
        pressure.sharedAt = {};
        return {};
    }
    const double elapsed = pressure.sharedAt.value ? (now - pressure.sharedAt).seconds() : 0;
    pressure.sharedAt = now;
    std::map<std::string, double> demands;
    for (const auto& [account, offered] : work.offered)
        demands[account] = sumOf(offered);
    std::erase_if(pressure.reserves, [&](const auto& it) { return !demands.contains(it.first); });
    const double capacity = capacityOf(pressure, engines.count);
    const double level = waterLevel(demands, weights, capacity);
    // What shortens the backlog is taken from the accounts above their share alone.
    double within = 0;
    std::map<std::string, double> above;
    for (const auto& [account, demand] : demands) {
        if (exceedsShare(pressure, account, demand, level * weightOf(weights, account), elapsed))
            above[account] = demand;
        else
            within += demand;
    }
    const double left = std::max(admissibleWork(pressure, work, engines) - within, (capacity - within) * minLeftFraction);
    const double levelAbove = waterLevel(above, weights, left);
    AdmittedParts out;
    for (const auto& [account, demand] : above) {
        const double share = levelAbove * weightOf(weights, account);
        if (demand > share)
            out[account] = divideShare(work.offered.at(account), share);
    }
    return out;
}

void setShares(ShareLimiter& limiter, TimeMs now, AdmittedParts parts)
{
    limiter.parts = std::move(parts);
    limiter.updated = now;
}

bool hasShares(const ShareLimiter& limiter, TimeMs now)
{
    return limiter.updated.value && now - limiter.updated <= shareExpiry;
}

bool isLimited(const ShareLimiter& limiter, TimeMs now, const std::string& account)
{
    return hasShares(limiter, now) && limiter.parts.contains(account);
}

static ShareLimiter::Group groupOf(const std::string& account, int urgency, double workMs)
{
    return { account, urgency, std::ilogb(std::max(workMs, 1.0)) };
}

// Spreads the first credits of the nodes evenly between none and one request.
static double firstCredit(const ShareLimiter& limiter, const std::string& account, int urgency, double workMs)
{
    const uint64_t hash = hash64(account, limiter.seed + static_cast<uint64_t>(urgency));
    return workMs * static_cast<double>(hash >> 11) / static_cast<double>(uint64_t { 1 } << 53);
}

static bool takePromise(ShareLimiter& limiter, TimeMs now, uint64_t fingerprint)
{
    const auto it = limiter.promises.find(fingerprint);
    if (it == limiter.promises.end())
        return false;
    const TimeMs at = it->second.at;
    if (now < at - earlyReturn)
        return false;
    limiter.promises.erase(it);
    return now <= at + lateReturn;
}

bool admitWork(ShareLimiter& limiter, TimeMs now, const std::string& account, int urgency, double workMs, uint64_t fingerprint)
{
    if (!hasShares(limiter, now))
        return true;
    const auto parts = limiter.parts.find(account);
    if (parts == limiter.parts.end())
        return true;
    const double part = parts->second[static_cast<size_t>(urgency)];
    const auto group = groupOf(account, urgency, workMs);
    if (limiter.credits.size() >= maxCredits && !limiter.credits.contains(group))
        return true;
    const auto [it, fresh] = limiter.credits.try_emplace(group);
    auto& credit = it->second;
    if (fresh)
        credit.ms = firstCredit(limiter, account, urgency, workMs);
    credit.usedAt = now;
    credit.ms += workMs * part;
    const bool first = takePromise(limiter, now, fingerprint) && credit.ms > -2 * workMs;
    if (!first && credit.ms < workMs)
        return false;
    credit.ms -= workMs;
    return true;
}

void returnCredit(ShareLimiter& limiter, const std::string& account, int urgency, double workMs)
{
    const auto it = limiter.credits.find(groupOf(account, urgency, workMs));
    if (it != limiter.credits.end())
        it->second.ms += workMs;
}

TimeMs promiseReturn(ShareLimiter& limiter, TimeMs now, const std::string& account, double workMs, double admittedRate, uint64_t fingerprint)
{
    auto& returns = limiter.returns[account];
    const double perMs = std::max(admittedRate / 1000, 1e-4);
    returns.ms = std::max(0.0, returns.ms - static_cast<double>((now - returns.updated).value) * perMs);
    returns.updated = now;
    returns.ms = std::min(returns.ms + workMs, maxReturnMs * perMs);
    const TimeMs wait { static_cast<int64_t>(std::ceil(std::max(returns.ms / perMs, minReturnMs))) };
    if (limiter.promises.size() < maxPromises)
        limiter.promises[fingerprint] = { now + wait };
    return wait;
}

double admittedRate(const ShareLimiter& limiter, const WorkMeter& meter, const std::string& account)
{
    const auto offered = meter.sums.offered.find(account);
    if (offered == meter.sums.offered.end())
        return 0;
    const auto parts = limiter.parts.find(account);
    double sum = 0;
    for (size_t n = 0; n < offered->second.size(); ++n)
        sum += offered->second[n] * (parts == limiter.parts.end() ? 1 : parts->second[n]);
    return sum;
}

void expireShares(ShareLimiter& limiter, TimeMs now)
{
    std::erase_if(limiter.credits, [&](const auto& it) { return now - it.second.usedAt > creditRetention; });
    std::erase_if(limiter.returns, [&](const auto& it) { return now - it.second.updated > creditRetention; });
    std::erase_if(limiter.promises, [&](const auto& it) { return now > it.second.at + lateReturn; });
}

}
