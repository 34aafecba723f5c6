#pragma once

#include "forward/ForwardTarget.h"

#include <array>
#include <map>
#include <string>

namespace siskinshunt {

// Fair sharing of a backend whose callers ask for more work than it can do in time. Entry nodes meter the work that each client account
// offers; from the sums over all nodes, the share of each account is computed by weighted max-min; and each node admits that part of
// what the account offers there. Work is engine time in ms, rates of work are ms per second.

/// Rates of work by urgency.
using WorkByUrgency = std::array<double, urgencyLevels>;

double sumOf(const WorkByUrgency&);

/// Work for one backend, at one node or summed over several.
struct BackendWork {
    std::map<std::string, WorkByUrgency> offered; ///< Rate by account, including what is refused.
    WorkByUrgency served {}; ///< Rate of the work that engines have done.
    WorkByUrgency targets {}; ///< Sum over the offered work of the rate times the target of its route in ms.

    double offeredSum() const;
    BackendWork& operator+=(const BackendWork&);
};

/// Meters the work for one backend at one node: exponentially decaying sums.
struct WorkMeter {
    BackendWork sums;
    TimeMs updated;
};

/// Records a request whose first attempt is about to start, whether it is then admitted or not.
void recordOffer(WorkMeter&, TimeMs now, const std::string& account, int urgency, double workMs, TimeMs routeTarget);
/// Records work that an engine has done.
void recordServed(WorkMeter&, TimeMs now, int urgency, double workMs);
/// Rates of the last third of a second or so. Accounts that offer nothing any more are removed.
BackendWork measuredWork(WorkMeter&, TimeMs now);

/// Largest level L at which the sum over the accounts of min(demand, weight * L) is at most `capacity`; infinite if all demands fit.
double waterLevel(const std::map<std::string, double>& demands, const std::map<std::string, double>& weights, double capacity);

/// Part of the offered work that is admitted, by account and urgency. Accounts within their share are not listed.
using AdmittedParts = std::map<std::string, WorkByUrgency>;

/// Divides the share of an account among its urgency levels: most of it in order of urgency, the rest evenly, so that none is starved.
/// Returns the admitted part of each level.
WorkByUrgency divideShare(const WorkByUrgency& offered, double share);

/// The engines of a backend that take requests.
struct BackendEngines {
    double count = 0; ///< An engine of another speed counts in proportion.
    double busy = 0; ///< Engines at which work waits, or is done.
    WorkByUrgency backlogMs {}; ///< Mean work that waits at an engine and is done before a new request of the urgency.
};

/// Expected wait of new requests relative to the targets of their routes, at the urgency where the ratio is largest: engines serve the
/// urgent first, so a mean would hide that the others are not served in time. Includes more urgent requests that arrive meanwhile.
double waitRatio(const BackendWork&, const BackendEngines&, double workPerEngine);

/// What is known of the capacity of a backend, and whether it is under pressure.
struct BackendPressure {
    double workPerEngine = 1000; ///< Rate of the work that one engine does when it is busy; the default until it was measured.
    bool underPressure = false;
    TimeMs calmSince; ///< Under pressure: since when the backlog is short and everything would fit; 0 if it is not so.
    TimeMs updated;
    TimeMs sharedAt; ///< When shares were last computed; 0 if not since the pressure began.
    std::map<std::string, double> reserves; ///< Work that an account may offer beyond its share, by account.
};

/// Updates the pressure from the work of all nodes.
void updatePressure(BackendPressure&, TimeMs now, const BackendWork&, const BackendEngines&);
/// Rate of work to admit: the capacity, corrected so that the expected wait stays a fraction of the routes' targets.
double admissibleWork(const BackendPressure&, const BackendWork&, const BackendEngines&);
/// Admitted parts of the accounts above their share; empty unless the backend is under pressure. Accounts without a weight have 1. An
/// account counts as within its share until it has offered about a second of one engine's time beyond it: over a short time, the few
/// requests of a small account often exceed its share by chance.
AdmittedParts computeShares(BackendPressure&, TimeMs now, const BackendWork&, const BackendEngines&, const std::map<std::string, double>& weights);

/// Admits requests of one backend at one node by the parts that were computed last.
struct ShareLimiter {
    /// Requests for which credit is kept: those of one account and urgency, and of about the same size, so that large ones get their turn.
    struct Group {
        std::string account;
        int urgency = 0;
        int size = 0; ///< Binary logarithm of the work.
        auto operator<=>(const Group&) const = default;
    };
    struct Credit {
        double ms = 0; ///< Work that may be admitted beyond what was.
        TimeMs usedAt;
    };
    /// Refused work of one account that is expected to come back.
    struct Returns {
        double ms = 0;
        TimeMs updated;
    };
    struct Promise {
        TimeMs at; ///< When the caller was told to return.
    };

    AdmittedParts parts;
    TimeMs updated; ///< When the parts were computed; 0 if never.
    uint64_t seed = 0; ///< Of this node, so that the first requests of an account are not admitted or refused by all nodes alike.
    std::map<Group, Credit> credits;
    std::map<std::string, Returns> returns;
    std::map<uint64_t, Promise> promises; ///< By fingerprint of the refused request.
};

/// Replaces the parts.
void setShares(ShareLimiter&, TimeMs now, AdmittedParts);
/// Whether parts are in force; they expire after a second.
bool hasShares(const ShareLimiter&, TimeMs now);
/// Whether the account is above its share.
bool isLimited(const ShareLimiter&, TimeMs now, const std::string& account);
/// Whether to admit a request. Deducts its work from the credit of the account if so.
bool admitWork(ShareLimiter&, TimeMs now, const std::string& account, int urgency, double workMs, uint64_t fingerprint);
/// Gives back the work of an admitted request that was not sent.
void returnCredit(ShareLimiter&, const std::string& account, int urgency, double workMs);
/// Time after which a refused request should come back: when the work of the account that was refused before it has had its turn.
/// `admittedRate`: rate of the account's work that this node admits. A caller that returns then, with the same request, goes first.
TimeMs promiseReturn(ShareLimiter&, TimeMs now, const std::string& account, double workMs, double admittedRate, uint64_t fingerprint);
/// Rate of the account's work that the node admits.
double admittedRate(const ShareLimiter&, const WorkMeter&, const std::string& account);
/// Removes what has expired.
void expireShares(ShareLimiter&, TimeMs now);

}
