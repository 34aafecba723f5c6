#include "experiment/Announcer.h"

#include "experiment/HttpClient.h"
#include "experiment/Json.h"

#include <algorithm>

namespace siskinshunt {

static constexpr size_t nodesPerRound = 2;
static constexpr TimeMs failedNodePause { 3000 };

AnnounceTargets::AnnounceTargets(std::vector<std::string> configured)
    : m_configured(std::move(configured))
{
}

std::vector<std::string> AnnounceTargets::choose(TimeMs now) const
{
    auto all = m_reportedNodes;
    for (const auto& it : m_configured) {
        if (std::find(all.begin(), all.end(), it) == all.end())
            all.push_back(it);
    }
    // A stable sort keeps the order of the announce answer among nodes that have not failed.
    std::stable_sort(all.begin(), all.end(), [&](const auto& a, const auto& b) {
        const auto failure = [&](const auto& node) {
            const auto it = m_failedAt.find(node);
            return it != m_failedAt.end() && it->second + failedNodePause > now ? it->second : TimeMs { -1 };
        };
        return failure(a) < failure(b);
    });
    all.resize(std::min(all.size(), nodesPerRound));
    return all;
}

void AnnounceTargets::setReportedNodes(std::vector<std::string> nodes)
{
    if (!nodes.empty())
        m_reportedNodes = std::move(nodes);
}

void AnnounceTargets::recordSuccess(const std::string& node) { m_failedAt.erase(node); }

void AnnounceTargets::recordFailure(const std::string& node, TimeMs now) { m_failedAt[node] = now; }

struct Announcer::State : std::enable_shared_from_this<Announcer::State> {
    State(Loop& loop, std::vector<std::string> nodes, std::string token, std::function<std::string()> makeBody)
        : loop(loop)
        , targets(std::move(nodes))
        , token(std::move(token))
        , makeBody(std::move(makeBody))
    {
    }

    void send();
    void schedule();
    void post(const std::string& node, const std::string& body);
    void handleAnswer(const std::string& node, int status, const std::string& body);

    Loop& loop;
    AnnounceTargets targets;
    std::string token;
    std::function<std::string()> makeBody;
    TimeMs interval { 1000 };
    uint64_t accepted = 0;
    bool stopped = false;
};

void Announcer::State::schedule()
{
    loop.after(interval, [self = shared_from_this()] {
        if (self->stopped)
            return;
        self->send();
        self->schedule();
    });
}

void Announcer::State::send()
{
    if (stopped)
        return;
    const auto body = makeBody();
    for (const auto& node : targets.choose(loop.now()))
        post(node, body);
}

void Announcer::State::post(const std::string& node, const std::string& body)
{
    HttpCall call { .address = node, .method = "POST", .target = "/v1/announce", .headers = { { "Content-Type", "application/json" }, { "Authorization", "Bearer " + token } }, .body = body, .timeout = { 800 } };
    startHttpCall(loop, std::move(call), {}, [self = shared_from_this(), node](const HttpAnswer& answer) {
        self->handleAnswer(node, answer.end == HttpEnd::Complete ? answer.status : 0, answer.body);
    });
}

void Announcer::State::handleAnswer(const std::string& node, int status, const std::string& body)
{
    if (status != 200)
        return targets.recordFailure(node, loop.now());
    targets.recordSuccess(node);
    ++accepted;
    const auto json = handle([&] { return parseJson(body, node); }, [](const Error&) { return Json(); });
    interval = { std::clamp<int64_t>(json["interval_ms"].asInt(1000), 100, 10000) };
    std::vector<std::string> nodes;
    for (const auto& it : json["nodes"].items)
        nodes.emplace_back(it.kind == Json::Kind::Object ? it["address"].asText() : it.asText());
    targets.setReportedNodes(std::move(nodes));
}

Announcer::Announcer(Loop& loop, std::vector<std::string> nodes, std::string token, std::function<std::string()> makeBody)
    : m_state(std::make_shared<State>(loop, std::move(nodes), std::move(token), std::move(makeBody)))
{
    m_state->send();
    m_state->schedule();
}

Announcer::~Announcer()
{
    m_state->stopped = true;
    m_state->makeBody = nullptr;
}

void Announcer::announceNow() { m_state->send(); }

uint64_t Announcer::accepted() const { return m_state->accepted; }

}
