#pragma once

#include "base/Histogram.h"
#include "experiment/Audit.h"
#include "experiment/ClientPolicy.h"
#include "experiment/Json.h"

#include <array>
#include <map>
#include <string>
#include <vector>

namespace siskinshunt {

/// Record of a finished call.
struct LoadRecord {
    std::string mix;
    CallResult result = CallResult::Answered;
    TimeMs startedAt; ///< Since the start of the run.
    TimeMs firstToken; ///< Since the start of the call; only set for streams that produced a token.
    TimeMs total;
    uint64_t tokens = 0;
    std::string version;
    std::string code; ///< Code of the last refusal or error.
    std::string run;
    uint32_t attempts = 1;
    uint32_t slowRefusals = 0; ///< Attempts refused as not run after more than half of the caller's deadline.
    uint32_t refusalsWithoutRetryAfter = 0; ///< Attempts refused as not run with 429 or 503 and without a retry time.
    uint32_t broken = 0; ///< Attempts whose connection broke or timed out after the request was sent.
};

/// Statistics of the calls of a mix.
struct MixTally {
    uint64_t calls = 0;
    std::array<uint64_t, enumNames<CallResult>.size()> results {};
    uint64_t tokens = 0;
    uint64_t resent = 0;
    uint64_t broken = 0;
    uint64_t slowRefusals = 0;
    uint64_t refusalsWithoutRetryAfter = 0;
    Histogram firstTokenMs;
    Histogram totalMs; ///< Of answered calls only.
    Histogram tokenGapMs; ///< Mean time between the tokens of each answered stream, in hundredths of a millisecond.
};

/// Sample of the cost counters of the stand-ins.
struct CostSample {
    TimeMs at;
    double perHour = 0;
    double spent = 0;
    uint64_t prefilled = 0;
    uint64_t resumed = 0;
    uint64_t cached = 0;
    uint64_t decoded = 0;
    uint64_t workAfterNotice = 0;
};

/// Statistics of a run.
class LoadTally {
public:
    explicit LoadTally(TimeMs window)
        : m_window(window)
    {
    }

    void record(const LoadRecord&);
    void addCost(const CostSample& sample) { m_costs.push_back(sample); }
    void setAudit(AuditResult audit) { m_audit = std::move(audit); }
    void setAuditMissing(std::string reason) { m_auditMissing = std::move(reason); }

    uint64_t calls() const;
    uint64_t count(CallResult) const;
    /// Returns the run in its saved form. `about` contains seed, duration and similar parameters.
    Json toJson(const Json& about) const;

private:
    struct Window {
        std::map<std::string, Histogram> firstTokenMs;
        std::map<std::string, Histogram> totalMs;
        std::map<std::string, uint64_t> versions;
        uint64_t answered = 0;
        uint64_t others = 0;
    };

    Json windowsJson() const;
    Json costsJson() const;
    Json checksJson() const;

    TimeMs m_window;
    std::map<std::string, MixTally> m_mixes;
    std::map<int64_t, Window> m_windows;
    std::map<std::string, uint64_t> m_refusals; ///< By "CODE RUN".
    std::vector<CostSample> m_costs;
    AuditResult m_audit;
    std::string m_auditMissing;
};

/// Whether no call was lost, cut, crossed, doubled, missing or wrongly reported as not run. With `strict`, no connection must
/// have broken after the request was sent either.
bool runIsClean(const Json& run, bool strict);

}
