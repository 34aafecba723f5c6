#pragma once

#include "experiment/Arrivals.h"
#include "experiment/ClientPolicy.h"
#include "experiment/EntryFinder.h"
#include "experiment/LoadTally.h"

#include <functional>
#include <memory>

namespace siskinshunt {

/// Context shared by all calls of a run.
struct LoadContext {
    Loop& loop;
    const LoadConfig& config;
    uint64_t seed = 1;
    TimeMs startedAt;
    Random random;
    std::function<void(const LoadRecord&, const OnceRecord*)> onEnd;
};

/// Makes one call of the load including retries, checks the answer and reports the result once.
class LoadCaller : public std::enable_shared_from_this<LoadCaller> {
public:
    LoadCaller(LoadContext&, const Arrival&, EntryFinder&);

    void start();

private:
    void send(const std::string& address);
    void handleData(const HttpAnswer&, std::string_view data);
    void handleEnd(const HttpAnswer&);
    void recordRefusal(const AttemptOutcome&);
    void resendOrEnd(const AttemptOutcome&);
    TimeMs backoff(const AttemptOutcome&);
    void end(const AttemptOutcome&);

    LoadContext& m_context;
    Arrival m_arrival;
    EntryFinder& m_entries;
    PreparedCall m_prepared;
    std::optional<AnswerChecker> m_checker;
    std::shared_ptr<HttpExchange> m_exchange;
    std::string m_address;
    LoadRecord m_record;
    TimeMs m_startedAt;
    TimeMs m_attemptAt;
    size_t m_attemptTokens = 0;
    bool m_outcomeUnknown = false;
};

}
