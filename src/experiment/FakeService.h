#pragma once

#include "experiment/FakeUpstream.h"

#include <map>
#include <string>

namespace siskinshunt {

/// Once-only executions of all services of the process by booking id. They are kept when a service restarts.
class Executions {
public:
    void record(const std::string& key, const std::string& service) { m_counts[key].push_back(service); }
    size_t count(const std::string& key) const;
    /// `{"executions":[{"key","count","by":[...]}]}`.
    Json toJson() const;

private:
    std::map<std::string, std::vector<std::string>> m_counts;
};

/// Stand-in for a plain service (hire desk, showroom app). Each request other than GET that has a booking id (member `booking`
/// of the body, otherwise the header Idempotency-Key) is recorded as an execution; GET returns the number of executions.
/// Answers contain `confirmation`.
class FakeService : public FakeUpstream {
public:
    FakeService(Loop&, FakeServiceConfig, AnnounceOptions, Executions&);
    ~FakeService() override { *m_alive = false; }

    UpstreamLoad load() override;
    UpstreamKind kind() const override { return UpstreamKind::Service; }

protected:
    void handleRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&) override;
    void clearState() override;

private:
    FakeServiceConfig m_config;
    Executions& m_executions;
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    uint32_t m_running = 0;
    uint64_t m_generation = 0;
};

}
