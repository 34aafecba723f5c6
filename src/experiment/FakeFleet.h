#pragma once

#include "experiment/FakeEngine.h"
#include "experiment/FakeService.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace siskinshunt {

/// All upstream stand-ins of one process, and the instances that they run on.
class FakeFleet {
public:
    /// What became of a start through the platform API.
    enum class StartResult : uint8_t {
        Created,
        Duplicate,
        Refused, ///< Starts are refused in that domain, or no address is left.
    };
    struct Instance {
        std::string id;
        std::string domain;
        std::string machine;
        std::string kind; ///< reclaimable or on-demand.
        bool starting = false; ///< Ordered, and its start time has not passed.
        bool configured = true; ///< From the file, not started through the platform API.
        std::string address;
        FakeUpstream* upstream = nullptr;
    };

    FakeFleet(Loop&, const FakesConfig&);

    /// Starts every configured upstream. Fails when a port is taken.
    Result<void> start();

    StartResult startInstance(const Json& order);
    /// False when the id is unknown.
    bool stopInstance(const std::string& id);
    /// Starts the upstreams of that name or failure domain again. A named one that runs is ended first; of a domain only
    /// configured ones that are down are started. Returns how many were started.
    int restart(const std::string& name, const std::string& domain);
    void refuseStarts(const std::string& domain, bool refuse);
    /// Upstreams whose name or failure domain matches; an empty text matches none.
    std::vector<FakeUpstream*> select(std::string_view name, std::string_view domain);

    SharedEngineState& sharedEngineState() { return m_sharedEngineState; }
    const Executions& executions() const { return m_executions; }
    Json describeUpstreams();
    Json describeInstances() const;
    Json describeNotices();
    Json describePrices() const;
    /// `{"per_hour","spent","prefilled_tokens","resumed_tokens","cached_tokens","decoded_tokens","work_after_notice","weight_fetches"}`.
    Json describeCost();

private:
    FakeUpstream& addEngine(FakeEngineConfig);
    Instance& addInstance(FakeUpstream&, const std::string& id, const std::string& kind);
    static const char* stateOf(const Instance&);
    std::string freeAddress() const;
    double perHour() const;
    void accrueCost();

    Loop& m_loop;
    const FakesConfig& m_config;
    SharedEngineState m_sharedEngineState;
    Executions m_executions;
    std::vector<std::unique_ptr<FakeUpstream>> m_upstreams;
    std::vector<FakeEngine*> m_engines;
    std::map<std::string, Instance> m_instances;
    std::set<std::string> m_refusedDomains;
    double m_spent = 0;
    TimeMs m_costAccruedAt;
};

}
