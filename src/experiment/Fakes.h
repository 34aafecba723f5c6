#pragma once

#include "experiment/FakeFleet.h"
#include "experiment/HttpServer.h"

namespace siskinshunt {

/// The stand-ins of a process: the fleet with its platform API, weight store and control interface.
class Fakes {
public:
    Fakes(Loop&, FakesConfig);

    /// Opens all ports. Fails with Io if one is in use.
    Result<void> start();
    FakeFleet& fleet() { return m_fleet; }

private:
    void handlePlatformRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    void createInstance(const Json& order, const std::shared_ptr<HttpReply>&);
    void handleWeightsRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    void handleControlRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    bool readControl(std::string_view path, const std::shared_ptr<HttpReply>&);
    /// Executes a control order. Returns the number of affected upstreams or settings, or -1 if the path is unknown.
    int executeControl(std::string_view path, const Json& order);
    int forEachSelected(const Json& order, const std::function<void(FakeUpstream&)>&);

    Loop& m_loop;
    FakesConfig m_config;
    FakeFleet m_fleet;
    OrderLog m_platformOrders;
    std::unique_ptr<HttpServer> m_platform;
    std::unique_ptr<HttpServer> m_weights;
    std::unique_ptr<HttpServer> m_control;
};

/// Runs the stand-ins of the file until SIGINT or SIGTERM. Returns exit code 0, or 2 if the file is invalid or a port is in use.
int runFakes(const std::string& file);

}
