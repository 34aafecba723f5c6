#pragma once

#include "base/EnumNames.h"
#include "base/Ids.h"
#include "base/TimeMs.h"
#include "forward/PromptParts.h"

#include <array>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

namespace siskinshunt {

/// What a crash of an upstream may be blamed on.
enum class CrashSubject : uint8_t {
    PromptPart, ///< A part that prompts of different requests share.
    Request, ///< The whole content of a request, which repeats of it share.
};

template <>
inline constexpr auto enumNames<CrashSubject> = std::to_array<EnumName<CrashSubject>>({
    { CrashSubject::PromptPart, "prompt_part" },
    { CrashSubject::Request, "request" },
});

/// The content of a request, as far as requests may have it in common.
struct RequestContent {
    std::span<const PromptPart> parts; ///< The last one is the request's own and never blamed.
    uint64_t fingerprint = 0; ///< See fingerprintOf().
};

/// An upstream broke off a request before its answer had got under way: the subject may crash upstreams.
struct ReportedCrash {
    CrashSubject kind = CrashSubject::PromptPart;
    uint64_t subject = 0; ///< Hash of the prompt part, or fingerprint of the request.
    uint64_t prompt = 0; ///< Hash of the whole prompt.
    UpstreamId upstream;
    uint64_t incarnation = 0;
    TimeMs age; ///< Time since the crash.

    template <class Archive>
    void serialize(Archive& archive) { archive(kind, subject, prompt, upstream, incarnation, age); }
};

/// A request with the subject was answered completely, so the subject does not crash upstreams.
struct ReportedAnswer {
    CrashSubject kind = CrashSubject::PromptPart;
    uint64_t subject = 0;
    TimeMs age; ///< Time since the answer.

    template <class Archive>
    void serialize(Archive& archive) { archive(kind, subject, age); }
};

/// What a node tells others of suspected subjects.
struct CrashReport {
    std::vector<ReportedCrash> crashes;
    std::vector<ReportedAnswer> answers;
    uint64_t answerCount = 0; ///< Complete answers to prompts since the last report, whatever their parts.

    template <class Archive>
    void serialize(Archive& archive) { archive(crashes, answers, answerCount); }
};

struct CrashQuarantineOptions {
    size_t minCrashes = 3; ///< Upstreams that a subject has crashed, after which it is quarantined; for a part, by different prompts.
    TimeMs answerWindow { 3000 }; ///< Answers up to this long before the first crash also clear a subject.
    TimeMs hearingTime { 1200 }; ///< Time for other nodes to report answers before a part is quarantined.
    uint64_t minOtherAnswers = 20; ///< Answers of all nodes to any prompts since the first crash; with fewer, the upstreams have other troubles than a part.
    TimeMs firstRetry { 60000 }; ///< Time from the last crash until one request tries a quarantined subject again; doubles with each failed try.
    TimeMs maxRetry { 960000 };
    TimeMs repeatInterval { 1000 }; ///< Evidence against a subject is reported again after this time, for nodes that have started since.
    size_t maxSuspects = 2000;
    size_t maxAnswered = 20000; ///< Of each kind.
};

/// Prompt parts and requests that crash the upstreams which run them, learned from the crashes and answers of all nodes. The verdict
/// depends on the evidence only, so that nodes which have the same evidence agree.
struct CrashQuarantine {
    struct Crash {
        uint64_t prompt = 0;
        UpstreamId upstream;
        uint64_t incarnation = 0;
        TimeMs at;
        bool report = false; ///< Not told to other nodes yet.
    };
    struct Suspect {
        CrashSubject kind = CrashSubject::PromptPart;
        std::vector<Crash> crashes; ///< By time; one per incarnation of an upstream.
        TimeMs knownSince;
        uint64_t answersBefore = 0; ///< Value of `answerCount` at that time.
        TimeMs repeatAt; ///< Next repeated report, once there are enough crashes.
        TimeMs triedAt; ///< When this node let a request through to try the subject again.
    };
    struct Answered {
        TimeMs at;
        TimeMs reportAt; ///< Next report while the subject is suspected.
        bool report = false;
    };
    using AnsweredSubjects = std::unordered_map<uint64_t, Answered>;

    CrashQuarantineOptions options;
    uint64_t answerCount = 0; ///< Complete answers to prompts of this node and, as reported, of others, whatever their parts.
    uint64_t answersToReport = 0;
    std::unordered_map<uint64_t, Suspect> suspects; ///< By subject.
    std::array<AnsweredSubjects, enumNames<CrashSubject>.size()> answered; ///< Subjects of recent complete answers, of this or another node, by kind.
};

/// Hash of a prompt, as in ReportedCrash.
uint64_t hashOfPrompt(std::span<const PromptPart>);

/// Records that the upstream broke off a request with this content.
void recordCrash(CrashQuarantine&, TimeMs now, const RequestContent&, UpstreamId, uint64_t incarnation);
/// Records a complete answer to a request with this content.
void recordCompleteAnswer(CrashQuarantine&, TimeMs now, const RequestContent&);

/// A subject that is quarantined, and when it is tried again.
struct QuarantinedSubject {
    CrashSubject kind = CrashSubject::PromptPart;
    uint64_t subject = 0;
    size_t crashes = 0;
    TimeMs retryAt;
};

/// The quarantined subject of the request; none if there is none.
std::optional<QuarantinedSubject> findQuarantined(const CrashQuarantine&, TimeMs now, const RequestContent&);
/// Records that this node lets a request through to try the subject again.
void recordTry(CrashQuarantine&, TimeMs now, uint64_t subject);

/// What is due to be told to other nodes.
CrashReport takeCrashReport(CrashQuarantine&, TimeMs now);
/// Applies what another node has told. What is news is due to be told in turn if `relay` is set. Returns the number of entries that were
/// left out, because this node does not know their kind.
size_t applyCrashReport(CrashQuarantine&, TimeMs now, const CrashReport&, bool relay);
void expireCrashEvidence(CrashQuarantine&, TimeMs now);

}
