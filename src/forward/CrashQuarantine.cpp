#include "forward/CrashQuarantine.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace siskinshunt {

static constexpr size_t maxCrashesPerSubject = 16;
// A crash this long after the one before it was caused by a try.
static constexpr TimeMs tryGap { 20000 };
// A node lets at most one request through per retry time; the next try waits for its outcome.
static constexpr TimeMs tryOutcomeTime { 10000 };
static constexpr TimeMs maxEvidenceAge { 3600000 };
// Bounds on one report; what is left follows with the next one.
static constexpr size_t maxReported = 200;

uint64_t hashOfPrompt(std::span<const PromptPart> parts)
{
    uint64_t hash = parts.size();
    for (const auto& part : parts)
        hash = combineHash(hash, part.hash);
    return hash;
}

// Calls `visit` with the kind and the hash of each subject of the request.
template <class Visit>
static void forEachSubject(const RequestContent& content, const Visit& visit)
{
    for (size_t n = 0; n + 1 < content.parts.size(); ++n)
        visit(CrashSubject::PromptPart, content.parts[n].hash);
    visit(CrashSubject::Request, content.fingerprint);
}

static CrashQuarantine::AnsweredSubjects& answeredOf(CrashQuarantine& quarantine, CrashSubject kind)
{
    return quarantine.answered[static_cast<size_t>(kind)];
}

// Returns whether the subject was cleared by an answer. The node that suspects it has to hear of that answer.
static bool isCleared(CrashQuarantine& quarantine, const ReportedCrash& crash, TimeMs crashAt)
{
    auto& answered = answeredOf(quarantine, crash.kind);
    const auto it = answered.find(crash.subject);
    if (it == answered.end() || it->second.at + quarantine.options.answerWindow < crashAt)
        return false;
    it->second.report = true;
    return true;
}

// Most suspects are requests that were beside the one at fault and never crash a second upstream.
static void evictOldestSuspect(CrashQuarantine& quarantine)
{
    const auto rank = [&](const CrashQuarantine::Suspect& suspect) { return std::pair(suspect.crashes.size() >= quarantine.options.minCrashes, suspect.crashes.back().at); };
    const auto oldest = std::min_element(quarantine.suspects.begin(), quarantine.suspects.end(), [&](const auto& a, const auto& b) { return rank(a.second) < rank(b.second); });
    if (oldest != quarantine.suspects.end())
        quarantine.suspects.erase(oldest);
}

static void addCrash(CrashQuarantine& quarantine, TimeMs now, const ReportedCrash& crash, bool report)
{
    const TimeMs at = now - std::clamp(crash.age, TimeMs {}, maxEvidenceAge);
    if (isCleared(quarantine, crash, at))
        return;
    if (!quarantine.suspects.contains(crash.subject) && quarantine.suspects.size() >= quarantine.options.maxSuspects)
        evictOldestSuspect(quarantine);
    auto& suspect = quarantine.suspects[crash.subject];
    if (suspect.crashes.empty()) {
        suspect.kind = crash.kind;
        suspect.knownSince = now;
        suspect.answersBefore = quarantine.answerCount;
    }
    const bool known = std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto& it) { return it.upstream == crash.upstream && it.incarnation == crash.incarnation; });
    if (known)
        return;
    const CrashQuarantine::Crash added { crash.prompt, crash.upstream, crash.incarnation, at, report };
    suspect.crashes.insert(std::upper_bound(suspect.crashes.begin(), suspect.crashes.end(), added, [](const auto& a, const auto& b) { return a.at < b.at; }), added);
    if (suspect.crashes.size() > maxCrashesPerSubject)
        suspect.crashes.erase(suspect.crashes.begin());
}

void recordCrash(CrashQuarantine& quarantine, TimeMs now, const RequestContent& content, UpstreamId upstream, uint64_t incarnation)
{
    const uint64_t prompt = hashOfPrompt(content.parts);
    forEachSubject(content, [&](CrashSubject kind, uint64_t subject) { addCrash(quarantine, now, { kind, subject, prompt, upstream, incarnation, {} }, true); });
}

static void clearSubject(CrashQuarantine& quarantine, const ReportedAnswer& answer, TimeMs now, bool report)
{
    auto& table = answeredOf(quarantine, answer.kind);
    if (table.size() >= quarantine.options.maxAnswered && !table.contains(answer.subject))
        return;
    const TimeMs at = now - std::clamp(answer.age, TimeMs {}, maxEvidenceAge);
    auto& answered = table[answer.subject];
    const bool isNews = at > answered.at;
    answered.at = std::max(answered.at, at);
    const auto it = quarantine.suspects.find(answer.subject);
    if (it == quarantine.suspects.end())
        return;
    std::erase_if(it->second.crashes, [&](const auto& crash) { return crash.at <= at + quarantine.options.answerWindow; });
    if (it->second.crashes.empty())
        quarantine.suspects.erase(it);
    if (report && isNews) {
        answered.report = true;
        answered.reportAt = now;
    }
}

void recordCompleteAnswer(CrashQuarantine& quarantine, TimeMs now, const RequestContent& content)
{
    if (!content.parts.empty()) {
        ++quarantine.answerCount;
        ++quarantine.answersToReport;
    }
    forEachSubject(content, [&](CrashSubject kind, uint64_t subject) { clearSubject(quarantine, { kind, subject, {} }, now, true); });
}

// For a part, different prompts and different upstreams: one prompt that is repeated, or one upstream that fails, proves nothing about it.
// The content of a whole request needs no more evidence than the crashes: a sound one that is repeated is answered somewhere, and a wrong
// verdict refuses that request only.
static bool hasEvidence(const CrashQuarantine& quarantine, const CrashQuarantine::Suspect& suspect, TimeMs now)
{
    const auto& crashes = suspect.crashes;
    const auto& options = quarantine.options;
    if (crashes.size() < options.minCrashes)
        return false;
    if (suspect.kind == CrashSubject::Request)
        return true;
    if (now - suspect.knownSince < options.hearingTime || quarantine.answerCount - suspect.answersBefore < options.minOtherAnswers)
        return false;
    std::vector<uint64_t> prompts;
    prompts.reserve(crashes.size());
    for (const auto& it : crashes)
        prompts.push_back(it.prompt);
    std::sort(prompts.begin(), prompts.end());
    return static_cast<size_t>(std::unique(prompts.begin(), prompts.end()) - prompts.begin()) >= options.minCrashes;
}

static TimeMs retryTime(const CrashQuarantine& quarantine, const CrashQuarantine::Suspect& suspect)
{
    TimeMs delay = quarantine.options.firstRetry;
    for (size_t n = 1; n < suspect.crashes.size(); ++n) {
        if (suspect.crashes[n].at - suspect.crashes[n - 1].at > tryGap)
            delay = std::min(delay * 2, quarantine.options.maxRetry);
    }
    const TimeMs afterCrash = suspect.crashes.back().at + delay;
    return suspect.triedAt >= afterCrash ? suspect.triedAt + tryOutcomeTime : afterCrash;
}

std::optional<QuarantinedSubject> findQuarantined(const CrashQuarantine& quarantine, TimeMs now, const RequestContent& content)
{
    std::optional<QuarantinedSubject> out;
    forEachSubject(content, [&](CrashSubject kind, uint64_t subject) {
        const auto it = quarantine.suspects.find(subject);
        if (!out && it != quarantine.suspects.end() && it->second.kind == kind && hasEvidence(quarantine, it->second, now))
            out = QuarantinedSubject { kind, subject, it->second.crashes.size(), retryTime(quarantine, it->second) };
    });
    return out;
}

void recordTry(CrashQuarantine& quarantine, TimeMs now, uint64_t subject)
{
    if (const auto it = quarantine.suspects.find(subject); it != quarantine.suspects.end())
        it->second.triedAt = now;
}

CrashReport takeCrashReport(CrashQuarantine& quarantine, TimeMs now)
{
    CrashReport out;
    out.answerCount = std::exchange(quarantine.answersToReport, 0);
    for (auto& [subject, suspect] : quarantine.suspects) {
        const bool repeat = suspect.crashes.size() >= quarantine.options.minCrashes && now >= suspect.repeatAt;
        if (repeat)
            suspect.repeatAt = now + quarantine.options.repeatInterval;
        for (auto& crash : suspect.crashes) {
            if ((!crash.report && !repeat) || out.crashes.size() >= maxReported)
                continue;
            crash.report = false;
            out.crashes.push_back({ suspect.kind, subject, crash.prompt, crash.upstream, crash.incarnation, now - crash.at });
        }
    }
    for (const auto& [kind, name] : enumNames<CrashSubject>) {
        for (auto& [subject, answered] : answeredOf(quarantine, kind)) {
            if (!answered.report || now < answered.reportAt || out.answers.size() >= maxReported)
                continue;
            answered.report = false;
            answered.reportAt = now + quarantine.options.repeatInterval;
            out.answers.push_back({ kind, subject, now - answered.at });
        }
    }
    return out;
}

static bool isKnown(CrashSubject kind)
{
    return std::any_of(enumNames<CrashSubject>.begin(), enumNames<CrashSubject>.end(), [&](const auto& it) { return it.value == kind; });
}

size_t applyCrashReport(CrashQuarantine& quarantine, TimeMs now, const CrashReport& report, bool relay)
{
    size_t unknown = 0;
    quarantine.answerCount += report.answerCount;
    if (relay)
        quarantine.answersToReport += report.answerCount;
    for (const auto& it : report.answers)
        isKnown(it.kind) ? clearSubject(quarantine, it, now, relay) : void(++unknown);
    for (const auto& it : report.crashes)
        isKnown(it.kind) ? addCrash(quarantine, now, it, relay) : void(++unknown);
    return unknown;
}

void expireCrashEvidence(CrashQuarantine& quarantine, TimeMs now)
{
    const auto& options = quarantine.options;
    // A suspect without enough crashes is no more likely to be at fault than others some time later.
    std::erase_if(quarantine.suspects, [&](const auto& it) {
        const auto& crashes = it.second.crashes;
        return now - crashes.back().at > (crashes.size() < options.minCrashes ? options.firstRetry : options.maxRetry * 2);
    });
    for (auto& table : quarantine.answered)
        std::erase_if(table, [&](const auto& it) { return now - it.second.at > options.answerWindow * 4; });
}

}
