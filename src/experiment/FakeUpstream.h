#pragma once

#include "base/EnumNames.h"
#include "experiment/Announcer.h"
#include "experiment/FakesConfig.h"
#include "experiment/HttpServer.h"
#include "fleet/Upstream.h"

#include <array>
#include <memory>
#include <optional>

namespace siskinshunt {

/// Nodes and token for the announcements of upstream stand-ins.
struct AnnounceOptions {
    std::vector<std::string> nodes;
    std::string token;
};

/// How a stand-in breaks an answer.
enum class AnswerBreak : uint8_t {
    Dropped, ///< The connection is closed without an answer.
    Reset, ///< A part of an answer without a length, then a reset.
    UnknownStatus, ///< Status 000, and a response to no request behind it.
    UnknownCoding, ///< A body in a transfer coding that was not asked for.
};

template <>
inline constexpr auto enumNames<AnswerBreak> = std::to_array<EnumName<AnswerBreak>>({
    { AnswerBreak::Dropped, "dropped" },
    { AnswerBreak::Reset, "reset" },
    { AnswerBreak::UnknownStatus, "unknown_status" },
    { AnswerBreak::UnknownCoding, "unknown_coding" },
});

/// Base class of the upstream stand-ins: identity, port, announcements, reclaim and faults. Derived classes handle requests.
class FakeUpstream {
public:
    FakeUpstream(Loop&, FakeIdentity, AnnounceOptions);
    virtual ~FakeUpstream();

    /// Opens the port and starts to announce with a new incarnation. Fails if the port is in use.
    Result<void> start();
    /// Closes the port and all connections and stops announcing.
    void stop();
    bool isRunning() const { return m_server != nullptr; }
    /// Announces that the platform reclaims the instance after the notice period, then stops.
    void reclaim(TimeMs notice);
    std::optional<TimeMs> reclaimIn() const;
    /// Stops responding on open connections; new ones are not affected.
    void freezeConnections();
    /// Each of the next `count` calls is executed, then its answer is dropped or, if `mixed`, broken in each way in turn.
    void breakAnswers(uint32_t count, bool mixed);
    const FakeIdentity& identity() const { return m_identity; }
    /// Number of calls that arrived more than 3 s after a reclaim notice, over all starts.
    uint64_t workAfterNotice() const { return m_workAfterNotice; }
    uint64_t announcementsAccepted() const { return m_announcer ? m_announcer->accepted() : 0; }
    /// Sets a callback that is invoked before each stop.
    void onStopping(std::function<void()> body) { m_onStopping = std::move(body); }
    /// Load as announced, which includes the reporting lag.
    virtual UpstreamLoad load() = 0;
    virtual UpstreamKind kind() const = 0;
    Json describe();

protected:
    virtual void handleRequest(const HttpRequest&, const std::shared_ptr<HttpReply>&) = 0;
    /// Clears the state that a process loses when it ends.
    virtual void clearState() = 0;
    /// How to break the next answer, if it is to be broken.
    std::optional<AnswerBreak> consumeBrokenAnswer();
    static void breakAnswer(HttpReply&, AnswerBreak);
    /// Must be called for each incoming call.
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
    /// Lets timers detect that the upstream was destroyed.
    std::shared_ptr<bool> m_alive = std::make_shared<bool>(true);
    uint64_t m_incarnation = 0;
    uint64_t m_sequence = 0;
    uint64_t m_workAfterNotice = 0;
    uint32_t m_brokenAnswers = 0; ///< Still to be broken.
    bool m_mixedBreaks = false;
    bool m_leaving = false;
};

/// JSON body of an error response of a stand-in.
std::string fakeErrorBody(std::string_view code, std::string_view message);

/// Sends a JSON response.
void answerJson(const std::shared_ptr<HttpReply>&, int status, const Json&);

}
