#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"
#include "forward/PromptParts.h"

#include <optional>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

/// An upstream broke off a request before its answer had got under way: one of the shared prompt parts may crash upstreams.
struct ReportedCrash {
    uint64_t part = 0;
    uint64_t prompt = 0; ///< Hash of the whole prompt.
    UpstreamId upstream;
    uint64_t incarnation = 0;
    TimeMs age; ///< Time since the crash.

    template <class Archive>
    void serialize(Archive& archive) { archive(part, prompt, upstream, incarnation, age); }
};

/// A request with the part was answered completely, so the part does not crash upstreams.
struct ReportedAnswer {
    uint64_t part = 0;
    TimeMs age; ///< Time since the answer.

    template <class Archive>
    void serialize(Archive& archive) { archive(part, age); }
};

/// What a node tells others of suspected parts.
struct CrashReport {
    std::vector<ReportedCrash> crashes;
    std::vector<ReportedAnswer> answers;
    uint64_t answerCount = 0; ///< Complete answers since the last report, whatever their parts.

    template <class Archive>
    void serialize(Archive& archive) { archive(crashes, answers, answerCount); }
};

struct CrashQuarantineOptions {
    size_t minCrashes = 3; ///< Upstreams that different prompts with a part have crashed, after which it is quarantined.
    TimeMs answerWindow { 3000 }; ///< Answers up to this long before the first crash also clear a part.
    TimeMs hearingTime { 1200 }; ///< Time for other nodes to report answers before a part is quarantined.
    uint64_t minOtherAnswers = 20; ///< Answers of all nodes to any requests since the first crash; with fewer, the upstreams have other troubles.
    TimeMs firstRetry { 60000 }; ///< Time from the last crash until one request tries a quarantined part again; doubles with each failed try.
    TimeMs maxRetry { 960000 };
    TimeMs repeatInterval { 1000 }; ///< Evidence against a part is reported again after this time, for nodes that have started since.
    size_t maxSuspects = 2000;
    size_t maxAnswered = 20000;
};

/// Prompt parts that crash the upstreams which run them, learned from the crashes and answers of all nodes. The verdict depends
/// on the evidence only, so that nodes which have the same evidence agree.
struct CrashQuarantine {
    struct Crash {
        uint64_t prompt = 0;
        UpstreamId upstream;
        uint64_t incarnation = 0;
        TimeMs at;
        bool report = false; ///< Not told to other nodes yet.
    };
    struct Suspect {
        std::vector<Crash> crashes; ///< By time; one per incarnation of an upstream.
        TimeMs knownSince;
        uint64_t answersBefore = 0; ///< Value of `answerCount` at that time.
        TimeMs repeatAt; ///< Next repeated report, once there are enough crashes.
        TimeMs triedAt; ///< When this node let a request through to try the part again.
    };
    struct Answered {
        TimeMs at;
        TimeMs reportAt; ///< Next report while the part is suspected.
        bool report = false;
    };

    CrashQuarantineOptions options;
    uint64_t answerCount = 0; ///< Complete answers of this node and, as reported, of others, whatever their parts.
    uint64_t answersToReport = 0;
    std::unordered_map<uint64_t, Suspect> suspects;
    std::unordered_map<uint64_t, Answered> answered; ///< Parts of recent complete answers, of this or another node.
};

/// Hash of a prompt, as in ReportedCrash.
uint64_t hashOfPrompt(const std::vector<PromptPart>&);

/// Records that the upstream broke off a request with these parts. The last part is the request's own and never suspected.
void recordCrash(CrashQuarantine&, TimeMs now, const std::vector<PromptPart>&, UpstreamId, uint64_t incarnation);
/// Records a complete answer to a request with these parts.
void recordCompleteAnswer(CrashQuarantine&, TimeMs now, const std::vector<PromptPart>&);

/// A part that is quarantined, and when it is tried again.
struct QuarantinedSubject {
    uint64_t part = 0;
    size_t crashes = 0;
    TimeMs retryAt;
};

/// The quarantined part of the prompt; none if there is none.
std::optional<QuarantinedSubject> findQuarantined(const CrashQuarantine&, TimeMs now, const std::vector<PromptPart>&);
/// Records that this node lets a request through to try the part again.
void recordTry(CrashQuarantine&, TimeMs now, uint64_t part);

/// What is due to be told to other nodes.
CrashReport takeCrashReport(CrashQuarantine&, TimeMs now);
/// Applies what another node has told. What is news is due to be told in turn if `relay` is set.
void applyCrashReport(CrashQuarantine&, TimeMs now, const CrashReport&, bool relay);
void expireCrashEvidence(CrashQuarantine&, TimeMs now);

}
