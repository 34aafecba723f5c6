#pragma once

#include "experiment/FakeEngine.h"
#include "experiment/FakeService.h"

#include <map>
#include <memory>
#include <set>
#include <string>

namespace siskinshunt {

/// All upstream stand-ins of a process and the instances that they run on.
class FakeFleet {
public:
    /// Result of a start order to the platform API.
    enum class StartResult : uint8_t {
        Created,
        Duplicate,
        Refused, ///< Starts are refused in the failure domain, or the address pool is exhausted.
    };
    struct Instance {
        std::string id;
        std::string domain;
        std::string machine;
        std::string kind; ///< "reclaimable" or "on-demand".
        bool starting = false; ///< Ordered but not yet started.
        bool configured = true; ///< Defined in the configuration file rather than started through the platform API.
        std::string address;
        FakeUpstream* upstream = nullptr;
    };

    FakeFleet(Loop&, const FakesConfig&);

    /// Starts all configured upstreams. Fails if a port is in use.
    Result<void> start();

    StartResult startInstance(const Json& order);
    /// Returns false if the id is unknown.
    bool stopInstance(const std::string& id);
    /// Restarts the upstreams with this name or in this failure domain. A running upstream with this name is stopped first; in a
    /// domain, only configured upstreams that are down are started. Returns the number of started upstreams.
    int restart(const std::string& name, const std::string& domain);
    void refuseStarts(const std::string& domain, bool refuse);
    /// Returns the upstreams whose name or failure domain matches; an empty string matches none.
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
