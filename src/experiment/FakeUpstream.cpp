#include "experiment/FakeUpstream.h"

#include "api/AnnouncementJson.h"

#include <chrono>

namespace siskinshunt {

FakeUpstream::FakeUpstream(Loop& loop, FakeIdentity identity, AnnounceOptions options)
    : m_loop(loop)
    , m_identity(std::move(identity))
    , m_options(std::move(options))
{
}

FakeUpstream::~FakeUpstream() { *m_alive = false; }

Result<void> FakeUpstream::start()
{
    if (isRunning())
        return {};
    BOOST_LEAF_ASSIGN(m_server, HttpServer::listen(m_loop, m_identity.address, [this](const auto& request, const auto& reply) {
        handleRequest(request, reply);
    }));
    // Incarnations are based on the wall clock, so that they also increase when the process of the stand-ins restarts.
    const auto wall = std::chrono::system_clock::now().time_since_epoch();
    const auto now = static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(wall).count());
    m_incarnation = std::max(m_incarnation + 1, now);
    m_sequence = 0;
    m_leaving = false;
    m_reclaimAt.reset();
    m_announcer = std::make_unique<Announcer>(m_loop, m_options.nodes, m_options.token, [this] { return announcement(); });
    return {};
}

void FakeUpstream::stop()
{
    if (!isRunning())
        return;
    if (m_onStopping)
        m_onStopping();
    m_announcer.reset();
    m_server.reset();
    m_reclaimAt.reset();
    m_brokenAnswers = 0;
    clearState();
}

void FakeUpstream::reclaim(TimeMs notice)
{
    if (!isRunning())
        return;
    m_noticeAt = m_loop.now();
    m_reclaimAt = m_noticeAt + notice;
    m_announcer->announceNow();
    m_loop.after(notice, [this, alive = m_alive, incarnation = m_incarnation] {
        if (*alive && m_incarnation == incarnation)
            stop();
    });
}

std::optional<TimeMs> FakeUpstream::reclaimIn() const
{
    if (!m_reclaimAt)
        return std::nullopt;
    return std::max(TimeMs {}, *m_reclaimAt - m_loop.now());
}

void FakeUpstream::freezeConnections()
{
    if (m_server)
        m_server->freezeOpenConnections();
}

void FakeUpstream::recordCall()
{
    constexpr TimeMs allowed { 3000 };
    if (m_reclaimAt && m_loop.now() > m_noticeAt + allowed)
        ++m_workAfterNotice;
}

void FakeUpstream::breakAnswers(uint32_t count, bool mixed)
{
    m_brokenAnswers = count;
    m_mixedBreaks = mixed;
}

std::optional<AnswerBreak> FakeUpstream::consumeBrokenAnswer()
{
    if (!m_brokenAnswers)
        return std::nullopt;
    --m_brokenAnswers;
    const auto& breaks = enumNames<AnswerBreak>;
    return m_mixedBreaks ? breaks[m_brokenAnswers % breaks.size()].value : AnswerBreak::Dropped;
}

void FakeUpstream::breakAnswer(HttpReply& reply, AnswerBreak way)
{
    switch (way) {
    case AnswerBreak::Dropped:
        return reply.drop();
    case AnswerBreak::Reset:
        return reply.breakOff("HTTP/1.1 200 OK\r\n\r\n{\"confirmation\":", true);
    case AnswerBreak::UnknownStatus:
        return reply.breakOff("HTTP/1.1 000 None\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", false);
    case AnswerBreak::UnknownCoding:
        return reply.breakOff("HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nbytes", false);
    }
}

void FakeUpstream::setLeaving()
{
    m_leaving = true;
    m_announcer->announceNow();
}

std::string FakeUpstream::announcement()
{
    return toJson(Announcement {
        .name = m_identity.name,
        .address = m_identity.address,
        .domain = m_identity.domain,
        .machine = m_identity.machine,
        .kind = kind(),
        .model = m_identity.model,
        .version = m_identity.version,
        .checksFencing = m_identity.checksFencing,
        .reclaimable = m_identity.reclaimable,
        .leaving = m_leaving,
        .reclaimIn = reclaimIn(),
        .incarnation = m_incarnation,
        .sequence = ++m_sequence,
        .load = load(),
    });
}

Json FakeUpstream::describe()
{
    const auto now = load();
    auto out = Json::object({ { "name", m_identity.name }, { "kind", nameOf(kind()) }, { "address", m_identity.address }, { "domain", m_identity.domain },
        { "model", m_identity.model }, { "version", m_identity.version }, { "up", isRunning() }, { "running", now.running }, { "waiting", now.waiting },
        { "work_after_notice", m_workAfterNotice }, { "announcements_accepted", announcementsAccepted() } });
    if (const auto remaining = reclaimIn())
        out.set("reclaim_in_ms", *remaining);
    return out;
}

std::string fakeErrorBody(std::string_view code, std::string_view message)
{
    return toText(Json::object({ { "error", Json::object({ { "code", code }, { "message", message } }) } }));
}

void answerJson(const std::shared_ptr<HttpReply>& reply, int status, const Json& body)
{
    reply->answer(status, { { "Content-Type", "application/json" } }, toText(body));
}

}
