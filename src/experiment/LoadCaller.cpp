#include "experiment/LoadCaller.h"

#include <algorithm>
#include <chrono>

namespace siskinshunt {

static uint64_t wallMs()
{
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    return static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
}

LoadCaller::LoadCaller(LoadContext& context, const Arrival& arrival, EntryFinder& entries)
    : m_context(context)
    , m_arrival(arrival)
    , m_entries(entries)
    , m_prepared(prepareCall(context.config, arrival, context.seed, wallMs()))
    , m_startedAt(context.loop.now())
{
    m_record.mix = context.config.mixes[arrival.mix].name;
    m_record.startedAt = m_startedAt - context.startedAt;
    m_record.attempts = 0;
}

void LoadCaller::start()
{
    m_entries.find([self = shared_from_this()](const std::string& address) { self->send(address); });
}

void LoadCaller::send(const std::string& address)
{
    ++m_record.attempts;
    m_attemptAt = m_context.loop.now();
    m_address = address;
    m_checker.emplace(m_prepared.expected);
    m_attemptTokens = 0;
    auto call = m_prepared.http;
    call.address = address;
    HttpDataHandler onData;
    if (m_prepared.expected.form == AnswerExpectation::Form::Stream)
        onData = [self = shared_from_this()](const HttpAnswer& soFar, std::string_view data) { self->handleData(soFar, data); };
    m_exchange = startHttpCall(m_context.loop, std::move(call), std::move(onData), [self = shared_from_this()](const HttpAnswer& answer) { self->handleEnd(answer); });
}

void LoadCaller::handleData(const HttpAnswer& soFar, std::string_view data)
{
    if (soFar.status != 200)
        return;
    m_attemptTokens += m_checker->feed(data);
    if (m_attemptTokens && m_record.firstToken.value == 0)
        m_record.firstToken = std::max(TimeMs { 1 }, m_context.loop.now() - m_startedAt);
    if (m_arrival.leaves && m_attemptTokens * 2 >= m_arrival.answerTokens)
        m_exchange->cancel();
}

void LoadCaller::handleEnd(const HttpAnswer& answer)
{
    AttemptOutcome attempt { .end = answer.end, .status = answer.status };
    attempt.verdict = m_checker->finish(answer.status, answer.body, answer.end == HttpEnd::Complete);
    attempt.code = m_checker->code();
    attempt.run = m_checker->run();
    attempt.retryAfter = m_checker->retryAfter();
    if (answer.end == HttpEnd::Cut || answer.end == HttpEnd::Timeout)
        ++m_record.broken;
    if (answer.end == HttpEnd::NotConnected || answer.end == HttpEnd::Cut || answer.end == HttpEnd::Timeout)
        m_entries.recordFailure(m_address);
    m_outcomeUnknown = m_outcomeUnknown || leavesOutcomeUnknown(attempt);
    recordRefusal(attempt);
    resendOrEnd(attempt);
}

void LoadCaller::recordRefusal(const AttemptOutcome& attempt)
{
    if (attempt.verdict != AnswerVerdict::Refusal || attempt.run != "not-run")
        return;
    const auto took = m_context.loop.now() - m_attemptAt;
    m_record.slowRefusals += took * 2 > m_prepared.http.timeout;
    m_record.refusalsWithoutRetryAfter += (attempt.status == 429 || attempt.status == 503) && attempt.retryAfter.value <= 0;
}

TimeMs LoadCaller::backoff(const AttemptOutcome& attempt)
{
    constexpr int64_t cap = 3000;
    const int64_t doubled = m_context.config.backoff.value << std::min(m_record.attempts - 1, 10u);
    const int64_t wait = std::min(cap, std::max(doubled, attempt.retryAfter.value));
    return { wait / 2 + static_cast<int64_t>(m_context.random.below(static_cast<uint64_t>(wait / 2 + 1))) };
}

void LoadCaller::resendOrEnd(const AttemptOutcome& attempt)
{
    const bool refused = attempt.verdict == AnswerVerdict::Refusal && attempt.run == "not-run";
    const bool willRetry = !refused || m_context.random.chance(m_context.config.retryShare);
    if (!canResend(attempt, m_arrival.once) || m_record.attempts >= m_context.config.attempts || !willRetry)
        return end(attempt);
    m_context.loop.after(backoff(attempt), [self = shared_from_this()] { self->start(); });
}

void LoadCaller::end(const AttemptOutcome& attempt)
{
    m_record.result = resultOf(attempt, m_arrival.once);
    m_record.total = m_context.loop.now() - m_startedAt;
    m_record.tokens = m_prepared.expected.form == AnswerExpectation::Form::Stream ? m_attemptTokens : 0;
    m_record.version = m_checker->version();
    if (m_record.result != CallResult::Answered) {
        m_record.code = attempt.code;
        m_record.run = attempt.run;
    }
    const OnceRecord once { .key = m_prepared.key, .result = m_record.result, .outcomeUnknown = m_outcomeUnknown };
    m_context.onEnd(m_record, m_prepared.key.empty() ? nullptr : &once);
    m_exchange.reset();
}

}
