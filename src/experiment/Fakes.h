#pragma once

#include "experiment/FakeFleet.h"
#include "experiment/HttpServer.h"

namespace siskinshunt {

/// Every stand-in of one process: the fleet with its platform API, weight store and control interface.
class Fakes {
public:
    Fakes(Loop&, FakesConfig);

    /// Opens every port. Fails with Io when one is taken.
    Result<void> start();
    FakeFleet& fleet() { return m_fleet; }

private:
    void handlePlatformRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    void createInstance(const Json& order, const std::shared_ptr<HttpReply>&);
    void handleWeightsRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    void handleControlRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&);
    bool readControl(std::string_view path, const std::shared_ptr<HttpReply>&);
    /// Carries out a control order; the number of upstreams (or settings) it acted on, or -1 for an unknown path.
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

/// Runs the stand-ins of the file until SIGINT or SIGTERM. Exit code 0, or 2 when the file is wrong or a port is taken.
int runFakes(const std::string& file);

}
