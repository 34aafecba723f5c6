#pragma once

#include "experiment/Announcer.h"
#include "experiment/FakesConfig.h"
#include "experiment/HttpServer.h"
#include "fleet/Upstream.h"

#include <memory>
#include <optional>

namespace siskinshunt {

/// Where and how upstream stand-ins announce themselves.
struct AnnounceOptions {
    std::vector<std::string> nodes;
    std::string token;
};

/// An upstream stand-in: identity, port, announcements, reclaim and faults. A derived class gives the behaviour.
class FakeUpstream {
public:
    FakeUpstream(Loop&, FakeIdentity, AnnounceOptions);
    virtual ~FakeUpstream();

    /// Opens the port and begins to announce, under a new incarnation. Fails when the port is taken.
    Result<void> start();
    /// Closes the port, cuts every connection and stops announcing.
    void stop();
    bool isRunning() const { return m_server != nullptr; }
    /// Announces that the platform takes the instance after the notice, then stops.
    void reclaim(TimeMs notice);
    std::optional<TimeMs> reclaimIn() const;
    /// Open connections go silent for good; new ones work.
    void freezeConnections();
    /// Executes each of the next `count` calls, then closes its connection without an answer.
    void dropAnswers(uint32_t count) { m_dropAnswers = count; }
    const FakeIdentity& identity() const { return m_identity; }
    /// Calls that arrived more than 3 s after a reclaim notice, over all starts.
    uint64_t workAfterNotice() const { return m_workAfterNotice; }
    uint64_t announcementsAccepted() const { return m_announcer ? m_announcer->accepted() : 0; }
    /// Called before each stop.
    void onStopping(std::function<void()> body) { m_onStopping = std::move(body); }
    /// As announced, late by the reporting lag.
    virtual UpstreamLoad load() = 0;
    virtual UpstreamKind kind() const = 0;
    Json describe();

protected:
    virtual void handleRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&) = 0;
    /// Forgets what a process loses when it ends.
    virtual void clearState() = 0;
    bool consumeDroppedAnswer();
    /// To be called for each call that arrives.
    void recordCall();
    void setLeaving();
    FakeIdentity& mutableIdentity() { return m_identity; }
    Loop& loop() { return m_loop; }

private:
    std::string announcement();

    Loop& m_loop;
    FakeIdentity m_identity;
    AnnounceOptions m_options;
    std::unique_ptr<HttpServer> m_server;
    std::unique_ptr<Announcer> m_announcer;
    std::optional<TimeMs> m_reclaimAt;
    TimeMs m_noticeAt;
    std::function<void()> m_onStopping;
    /// Timers look at this to see whether the upstream still exists.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    uint64_t m_incarnation = 0;
    uint64_t m_sequence = 0;
    uint64_t m_workAfterNotice = 0;
    uint32_t m_dropAnswers = 0;
    bool m_leaving = false;
};

/// JSON body of a refusal by a stand-in.
std::string fakeErrorBody(std::string_view code, std::string_view message);

/// Sends a JSON answer.
void answerJson(const std::shared_ptr<HttpReply>&, int status, const Json&);

}
