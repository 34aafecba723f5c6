#include "forward/CrashQuarantine.h"

#include "base/Hash.h"

#include <algorithm>
#include <utility>

namespace siskinshunt {

static constexpr size_t maxCrashesPerPart = 16;
// A crash this long after the one before it was caused by a try.
static constexpr TimeMs tryGap { 20000 };
// A node lets at most one request through per retry time; the next try waits for its outcome.
static constexpr TimeMs tryOutcomeTime { 10000 };
static constexpr TimeMs maxEvidenceAge { 3600000 };
// Bounds on one report; what is left follows with the next one.
static constexpr size_t maxReported = 200;

uint64_t hashOfPrompt(const std::vector<PromptPart>& parts)
{
    uint64_t hash = parts.size();
    for (const auto& part : parts)
        hash = combineHash(hash, part.hash);
    return hash;
}

static bool isCleared(const CrashQuarantine& quarantine, uint64_t part, TimeMs crashAt)
{
    const auto it = quarantine.answered.find(part);
    return it != quarantine.answered.end() && it->second.at + quarantine.options.answerWindow >= crashAt;
}

static void addCrash(CrashQuarantine& quarantine, TimeMs now, const ReportedCrash& crash, bool report)
{
    const TimeMs at = now - std::clamp(crash.age, TimeMs {}, maxEvidenceAge);
    if (isCleared(quarantine, crash.part, at)) {
        // The node that suspects the part has to hear of the answer.
        quarantine.answered[crash.part].report = true;
        return;
    }
    if (!quarantine.suspects.contains(crash.part) && quarantine.suspects.size() >= quarantine.options.maxSuspects)
        return;
    auto& suspect = quarantine.suspects[crash.part];
    if (suspect.crashes.empty()) {
        suspect.knownSince = now;
        suspect.answersBefore = quarantine.answerCount;
    }
    const bool known = std::any_of(suspect.crashes.begin(), suspect.crashes.end(), [&](const auto& it) { return it.upstream == crash.upstream && it.incarnation == crash.incarnation; });
    if (known)
        return;
    const CrashQuarantine::Crash added { crash.prompt, crash.upstream, crash.incarnation, at, report };
    suspect.crashes.insert(std::upper_bound(suspect.crashes.begin(), suspect.crashes.end(), added, [](const auto& a, const auto& b) { return a.at < b.at; }), added);
    if (suspect.crashes.size() > maxCrashesPerPart)
        suspect.crashes.erase(suspect.crashes.begin());
}

void recordCrash(CrashQuarantine& quarantine, TimeMs now, const std::vector<PromptPart>& parts, UpstreamId upstream, uint64_t incarnation)
{
    const uint64_t prompt = hashOfPrompt(parts);
    for (size_t n = 0; n + 1 < parts.size(); ++n)
        addCrash(quarantine, now, { parts[n].hash, prompt, upstream, incarnation, {} }, true);
}

static void clearPart(CrashQuarantine& quarantine, uint64_t part, TimeMs at, TimeMs now, bool report)
{
    auto& answered = quarantine.answered[part];
    const bool isNews = at > answered.at;
    answered.at = std::max(answered.at, at);
    const auto it = quarantine.suspects.find(part);
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

void recordCompleteAnswer(CrashQuarantine& quarantine, TimeMs now, const std::vector<PromptPart>& parts)
{
    ++quarantine.answerCount;
    ++quarantine.answersToReport;
    for (size_t n = 0; n + 1 < parts.size(); ++n) {
        if (quarantine.answered.size() < quarantine.options.maxAnswered || quarantine.answered.contains(parts[n].hash))
            clearPart(quarantine, parts[n].hash, now, now, true);
    }
}

// Different prompts and different upstreams: one prompt that is repeated, or one upstream that fails, proves nothing about a part.
static bool hasEvidence(const CrashQuarantine& quarantine, const CrashQuarantine::Suspect& suspect, TimeMs now)
{
    const auto& crashes = suspect.crashes;
    const auto& options = quarantine.options;
    if (crashes.size() < options.minCrashes || now - suspect.knownSince < options.hearingTime || quarantine.answerCount - suspect.answersBefore < options.minOtherAnswers)
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

std::optional<QuarantinedSubject> findQuarantined(const CrashQuarantine& quarantine, TimeMs now, const std::vector<PromptPart>& parts)
{
    for (size_t n = 0; n + 1 < parts.size(); ++n) {
        const auto it = quarantine.suspects.find(parts[n].hash);
        if (it != quarantine.suspects.end() && hasEvidence(quarantine, it->second, now))
            return QuarantinedSubject { parts[n].hash, it->second.crashes.size(), retryTime(quarantine, it->second) };
    }
    return std::nullopt;
}

void recordTry(CrashQuarantine& quarantine, TimeMs now, uint64_t part)
{
    if (const auto it = quarantine.suspects.find(part); it != quarantine.suspects.end())
        it->second.triedAt = now;
}

CrashReport takeCrashReport(CrashQuarantine& quarantine, TimeMs now)
{
    CrashReport out;
    out.answerCount = std::exchange(quarantine.answersToReport, 0);
    for (auto& [part, suspect] : quarantine.suspects) {
        const bool repeat = suspect.crashes.size() >= quarantine.options.minCrashes && now >= suspect.repeatAt;
        if (repeat)
            suspect.repeatAt = now + quarantine.options.repeatInterval;
        for (auto& crash : suspect.crashes) {
            if ((!crash.report && !repeat) || out.crashes.size() >= maxReported)
                continue;
            crash.report = false;
            out.crashes.push_back({ part, crash.prompt, crash.upstream, crash.incarnation, now - crash.at });
        }
    }
    for (auto& [part, answered] : quarantine.answered) {
        if (!answered.report || now < answered.reportAt || out.answers.size() >= maxReported)
            continue;
        answered.report = false;
        answered.reportAt = now + quarantine.options.repeatInterval;
        out.answers.push_back({ part, now - answered.at });
    }
    return out;
}

void applyCrashReport(CrashQuarantine& quarantine, TimeMs now, const CrashReport& report, bool relay)
{
    quarantine.answerCount += report.answerCount;
    if (relay)
        quarantine.answersToReport += report.answerCount;
    for (const auto& it : report.answers) {
        if (quarantine.answered.size() < quarantine.options.maxAnswered || quarantine.answered.contains(it.part))
            clearPart(quarantine, it.part, now - std::clamp(it.age, TimeMs {}, maxEvidenceAge), now, relay);
    }
    for (const auto& it : report.crashes)
        addCrash(quarantine, now, it, relay);
}

void expireCrashEvidence(CrashQuarantine& quarantine, TimeMs now)
{
    const auto& options = quarantine.options;
    std::erase_if(quarantine.suspects, [&](const auto& it) { return now - it.second.crashes.back().at > options.maxRetry * 2; });
    // A suspect without enough crashes is no more likely to be at fault than others some time later.
    std::erase_if(quarantine.suspects, [&](const auto& it) { return it.second.crashes.size() < options.minCrashes && now - it.second.crashes.back().at > options.firstRetry; });
    std::erase_if(quarantine.answered, [&](const auto& it) { return now - it.second.at > options.answerWindow * 4; });
}

}
