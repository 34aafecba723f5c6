// Plays one case: rig CASE ROOT FOLDER, with TROUBLE=0 without the disruption. Exits with 1 if the rule was broken, 0 if it held, and 2 if
// the case could not run.
#include "StandIns.h"

#include <boost/json/src.hpp>

using namespace rig;

static constexpr int held = 0;
static constexpr int broken = 1;
static constexpr int notRun = 2;

namespace {

struct Play {
    std::string root;
    std::string folder;
    Record& record;
    bool trouble;
};

}

static int fail(Play& play, const std::string& text)
{
    play.record.line("could not run: " + text);
    std::cerr << text << '\n';
    return notRun;
}

static int verdict(Play& play, bool isBroken, const std::string& text)
{
    play.record.line((isBroken ? "BROKEN: " : "held: ") + text);
    std::cout << (isBroken ? "broken: " : "held: ") << text << '\n';
    return isBroken ? broken : held;
}

static const std::vector<std::pair<std::string, int>> s_fronts { { "lhr-depot", 3 }, { "lhr-gulberg", 2 }, { "lhr-shahdara", 2 } };
static const std::vector<std::pair<std::string, int>> s_cores { { "lhr-depot", 2 }, { "lhr-gulberg", 2 }, { "lhr-shahdara", 1 } };

static std::vector<std::unique_ptr<Runner>> startRunners(
    Deployment& deployment, const std::string& service, const std::string& version, int first, int count, std::function<bool(int)> fails = [](int) { return false; })
{
    static const char* const zones[] = { "lhr-depot", "lhr-gulberg", "lhr-shahdara" };
    std::vector<std::unique_ptr<Runner>> out;
    for (int n = 0; n < count; ++n)
        out.push_back(std::make_unique<Runner>(deployment, Runner::Options { .id = "i-" + randomId().substr(0, 8), .service = service, .version = version, .zone = zones[n % 3], .address = { deployment.address(2, first + n), deployment.ports().runner }, .fails = fails }));
    return out;
}

static std::string countsOf(const std::vector<Clients::Sent>& sent, int64_t from, int64_t to)
{
    std::map<int, int> counts;
    for (const auto& it : sent) {
        if (it.at >= from && it.at < to)
            ++counts[it.status];
    }
    std::string out;
    for (const auto& [status, n] : counts)
        out += (out.empty() ? "" : ", ") + (status ? std::to_string(status) : std::string("no answer")) + ": " + std::to_string(n);
    return out;
}

// A liveness report of another writer, whose address cannot be read: its numbers are padded with zeros. It is repeated like any other.
static int playAddress(Play& play)
{
    static constexpr int reports = 20;
    static constexpr int endsThatCount = 3;
    Deployment deployment(play.root, play.folder, play.record, s_fronts, s_cores);
    Cloud cloud(deployment);
    deployment.startAll();
    Operator user(deployment);
    if (user.order("PUT", "/config", manifest(1, "desk", "desk.example", "non_idempotent"), 20000).status() != 200)
        return fail(play, "no acknowledged manifest");
    const auto runners = startRunners(deployment, "desk", "v1", 1, 3);
    sleepMs(4000);
    Clients clients(deployment, { .host = "desk.example", .path = "/desk/a", .zone = "lhr-depot", .perSecond = 40, .headers = {} });
    sleepMs(8000);
    const int64_t at = steadyMs();
    const auto cores = deployment.ofClass("core");
    char address[40];
    std::snprintf(address, sizeof(address), "127.%03d.002.009:%d", std::atoi(deployment.address(2, 9).substr(4).c_str()), deployment.ports().runner);
    json::object report { { "service", "desk" }, { "address", address }, { "zone", "lhr-depot" }, { "version", "v1" }, { "slots", 6 }, { "state", "ready" }, { "coldRemainingMs", 0 }, { "sequence", 0 }, { "born", unixMs() } };
    for (int n = 1; n <= reports; ++n) {
        if (play.trouble) {
            report["sequence"] = n;
            const Message answer = call({ cores[static_cast<size_t>(n) % cores.size()]->ip, deployment.ports().control }, "PUT", "/instances/i-other", { { "Content-Type", "application/json" } }, json::serialize(report), 1000);
            play.record.line("other writer: report with address " + std::string(address) + " -> " + std::to_string(answer.status()));
        }
        sleepMs(1200);
    }
    const int64_t end = steadyMs();
    sleepMs(2000);
    clients.stop();
    size_t often = 0;
    std::string ends;
    for (auto& machine : deployment.machines()) {
        const int n = deployment.ownEnds(machine);
        often += n >= endsThatCount;
        if (n)
            ends += " " + machine.name + " " + std::to_string(n) + ",";
    }
    std::set<std::string> ran;
    for (const auto& runner : runners) {
        for (const auto& run : runner->runs())
            ran.insert(run.request);
    }
    const auto sent = clients.sent();
    const auto lost = std::count_if(sent.begin(), sent.end(), [&](const auto& it) { return it.at >= at && !it.status && ran.contains(it.request); });
    play.record.line("answers before: " + countsOf(sent, 0, at));
    const size_t limit = std::max<size_t>(2, (deployment.machines().size() + 9) / 10);
    return verdict(play, often >= limit, std::to_string(often) + " machines whose processes ended by themselves three times or more (limit " + std::to_string(limit) + "):" + (ends.empty() ? " none," : ends) + " answers meanwhile: " + countsOf(sent, at, end) + "; bookings that ran and were not answered: " + std::to_string(lost));
}

// A liveness report of another writer, which lacks fields. At its address listens a web server that is no runner and has no such pages.
static int playForeignServer(Play& play)
{
    static constexpr int reports = 15;
    Deployment deployment(play.root, play.folder, play.record, s_fronts, s_cores);
    Cloud cloud(deployment);
    deployment.startAll();
    Operator user(deployment);
    if (user.order("PUT", "/config", manifest(1, "desk", "desk.example", "non_idempotent"), 20000).status() != 200)
        return fail(play, "no acknowledged manifest");
    const auto runners = startRunners(deployment, "desk", "v1", 1, 3);
    const Address address { deployment.address(2, 9), deployment.ports().runner };
    std::atomic<int> foreign { 0 };
    Server webServer(address, [&](const Message& request, Socket& socket) {
        ++foreign;
        play.record.line("web server: " + request.startLine + " " + headerOf(request.headers, "Request-Id") + " -> 404");
        return socket.send(formatMessage("HTTP/1.1 404 Not Found", { { "Content-Type", "text/plain" } }, "no such page\n", true), steadyMs() + 1000);
    });
    if (!webServer.isOpen())
        return fail(play, "no free port for the web server");
    sleepMs(4000);
    Clients clients(deployment, { .host = "desk.example", .path = "/desk/a", .zone = "lhr-depot", .perSecond = 40, .headers = {} });
    sleepMs(8000);
    const int64_t at = steadyMs();
    const auto cores = deployment.ofClass("core");
    for (int n = 1; n <= reports; ++n) {
        if (play.trouble) {
            // Without version, coldRemainingMs and born.
            const json::object report { { "service", "desk" }, { "address", address.text() }, { "zone", "lhr-depot" }, { "slots", 6 }, { "state", "ready" }, { "sequence", n } };
            const Message answer = call({ cores[static_cast<size_t>(n) % cores.size()]->ip, deployment.ports().control }, "PUT", "/instances/web-1", { { "Content-Type", "application/json" } }, json::serialize(report), 1000);
            play.record.line("other writer: " + json::serialize(report) + " -> " + std::to_string(answer.status()));
        }
        sleepMs(1200);
    }
    const int64_t end = steadyMs();
    clients.stop();
    const auto sent = clients.sent();
    const auto denied = std::count_if(sent.begin(), sent.end(), [](const auto& it) { return !it.signedAnswer && it.status >= 300 && it.status < 500 && it.status != 408 && it.status != 421 && it.status != 429; });
    const double limit = 5 + static_cast<double>(sent.size()) / 500;
    return verdict(play, static_cast<double>(denied) > limit, std::to_string(denied) + " of " + std::to_string(sent.size()) + " proper requests ended with a 3xx or 4xx without a runner's signature (limit " + std::to_string(static_cast<int>(limit)) + "); the web server got " + std::to_string(foreign) + " requests; answers meanwhile: " + countsOf(sent, at, end));
}

// Reads the state of the rollout from the leader.
static json::object rolloutOf(Operator& user, bool isLogged = true)
{
    const Message answer = user.order("GET", "/rollouts/desk", "", 8000, isLogged);
    json::error_code ec;
    const auto body = json::parse(answer.body, ec);
    return !ec && body.is_object() ? body.as_object() : json::object {};
}

static std::string textOf(const json::object& object, const char* key)
{
    const auto* value = object.if_contains(key);
    return value && value->is_string() ? std::string(value->as_string()) : std::string("-");
}

static std::string rolloutOrder(const std::string& target, int seconds)
{
    return json::serialize(json::object { { "service", "desk" }, { "target", target }, { "durationS", seconds } });
}

// A node that serves control stands still while it holds an order. The order is repeated at another node, ends, and another one follows.
static int playStaleOrder(Play& play)
{
    Deployment deployment(play.root, play.folder, play.record, s_fronts, s_cores);
    Cloud cloud(deployment);
    deployment.startAll();
    Operator user(deployment);
    if (user.order("PUT", "/config", manifest(1, "desk", "desk.example", "idempotent"), 20000).status() != 200)
        return fail(play, "no acknowledged manifest");
    const auto old = startRunners(deployment, "desk", "v1", 1, 3);
    sleepMs(4000);
    Clients clients(deployment, { .host = "desk.example", .path = "/desk/a", .zone = "lhr-depot", .perSecond = 60, .headers = {} });
    sleepMs(4000);
    // v2 fails three of five requests from the start; v3 is good. The runners of a version start beside the old ones.
    auto number = std::make_shared<std::atomic<int>>(0);
    auto bad = startRunners(deployment, "desk", "v2", 11, 3, [number](int) { return ++*number % 5 < 3; });
    sleepMs(2500);
    // A follower, so that one of the machines that count is away, and the others keep their leader.
    Machine* follower = nullptr;
    for (auto* core : deployment.ofClass("core")) {
        const Message answer = call({ core->ip, deployment.ports().control }, "GET", "/config", {}, "", 1000);
        if (answer.status() == 307)
            follower = core;
    }
    if (!follower)
        return fail(play, "no follower found");
    if (play.trouble)
        deployment.kill(*follower, SIGSTOP);
    // The operator picks that node, waits a second, and moves on to another one.
    const Message first = call({ follower->ip, deployment.ports().control }, "POST", "/rollouts", { { "Content-Type", "application/json" } }, rolloutOrder("v2", 20), 1000);
    play.record.line("operator POST /rollouts v2 at " + follower->name + " -> " + (first.complete ? std::to_string(first.status()) : std::string("no response within a second")));
    if (!first.complete)
        user.avoid(follower->ip);
    if (!first.complete && user.order("POST", "/rollouts", rolloutOrder("v2", 20), 3000).status() != 200)
        return fail(play, "the rollout of v2 was not acknowledged");
    const int64_t stoppedAt = steadyMs() - 1000;
    bool rolledBack = false;
    while (!rolledBack && steadyMs() - stoppedAt < 6500) {
        sleepMs(200);
        rolledBack = textOf(rolloutOf(user, false), "state") == "rolled_back";
    }
    play.record.line(std::string("rollout of v2 is ") + (rolledBack ? "rolled_back" : "not rolled back yet"));
    if (!rolledBack)
        return fail(play, "v2 was not rolled back in time");
    auto good = startRunners(deployment, "desk", "v3", 21, 3);
    if (user.order("POST", "/rollouts", rolloutOrder("v3", 20), 3000).status() != 200)
        return fail(play, "the rollout of v3 was not acknowledged");
    const int64_t orderedAt = steadyMs();
    const json::object before = rolloutOf(user);
    play.record.line("rollout: target " + textOf(before, "target") + " is " + textOf(before, "state"));
    sleepMs(std::max<int64_t>(500, stoppedAt + 6000 - steadyMs()));
    play.record.line("the node stood still for " + std::to_string(steadyMs() - stoppedAt) + " ms");
    if (play.trouble)
        deployment.kill(*follower, SIGCONT);
    // At rolled_back, the platform drains the new runners some seconds later.
    sleepMs(2000);
    for (auto& it : bad)
        it->setDraining();
    sleepMs(3000);
    bad.clear();
    const json::object after = rolloutOf(user);
    play.record.line("rollout: target " + textOf(after, "target") + " is " + textOf(after, "state"));
    // The final fault, immediately after a manifest was acknowledged: all processes are killed.
    if (user.order("PUT", "/config", manifest(2, "desk", "desk.example", "idempotent"), 4000).status() != 200)
        return fail(play, "the last manifest was not acknowledged");
    for (auto& machine : deployment.machines())
        deployment.kill(machine, SIGKILL);
    sleepMs(12000);
    const json::object last = rolloutOf(user);
    play.record.line("after the final fault: target " + textOf(last, "target") + " is " + textOf(last, "state") + ", " + std::to_string((steadyMs() - orderedAt) / 1000) + " s after the ack of v3");
    clients.stop();
    return verdict(play, textOf(last, "target") != "v3", "v3 was the last order that was acknowledged; read back after the final fault: target " + textOf(last, "target") + ", " + textOf(last, "state"));
}

namespace {

// What the clients and the runners have seen of a version order.
struct RolloutCounts {
    int64_t orderedAt = 0;
    int64_t budgetEnds = 0;
    std::string state;
    std::vector<Runner::Run> oldRuns;
    std::vector<Runner::Run> newRuns;
};

}

static constexpr int rolloutSeconds = 24;

static void collectRuns(std::vector<Runner::Run>& out, const std::vector<std::unique_ptr<Runner>>& runners)
{
    for (const auto& runner : runners) {
        const auto runs = runner->runs();
        out.insert(out.end(), runs.begin(), runs.end());
    }
    std::sort(out.begin(), out.end(), [](const auto& a, const auto& b) { return a.at < b.at; });
}

// Orders v2 and follows the order until some seconds after its time budget. On completed, the old runners are stopped.
static bool followRollout(Play& play, Operator& user, std::vector<std::unique_ptr<Runner>>& old, const std::vector<std::unique_ptr<Runner>>& fresh, RolloutCounts& counts)
{
    counts.orderedAt = steadyMs();
    if (user.order("POST", "/rollouts", rolloutOrder("v2", rolloutSeconds), 4000).status() != 200)
        return false;
    counts.budgetEnds = counts.orderedAt + rolloutSeconds * 1000;
    while (steadyMs() < counts.budgetEnds + 8000) {
        const std::string now = textOf(rolloutOf(user, false), "state");
        if (now != counts.state) {
            counts.state = now;
            play.record.line("rollout is " + now + " " + std::to_string((steadyMs() - counts.orderedAt) / 100 / 10.0) + " s after its order");
        }
        if (now == "completed" && !old.empty()) {
            collectRuns(counts.oldRuns, old);
            old.clear();
        }
        sleepMs(200);
    }
    collectRuns(counts.oldRuns, old);
    collectRuns(counts.newRuns, fresh);
    return true;
}

// The rule EXPOSURE as written. `isBad` tells whether a run of the bad version was a bad answer; `at` when it was.
static int judgeExposure(Play& play, const RolloutCounts& counts, const std::vector<Clients::Sent>& sent, const std::function<bool(const Runner::Run&, const Clients::Sent&)>& isBad, const std::string& more)
{
    static constexpr double share = 0.1;
    static constexpr int slack = 50;
    static constexpr int64_t rollbackMs = 5000;
    std::map<std::string, const Clients::Sent*> byId;
    for (const auto& it : sent)
        byId[it.request] = &it;
    const auto inBudget = [&](const auto& it) { return it.at >= counts.orderedAt && it.at < counts.budgetEnds; };
    const auto reached = std::count_if(counts.newRuns.begin(), counts.newRuns.end(), inBudget);
    const auto all = reached + std::count_if(counts.oldRuns.begin(), counts.oldRuns.end(), inBudget);
    const double limit = share * static_cast<double>(all) + slack;
    std::vector<int64_t> badAt;
    for (const auto& run : counts.newRuns) {
        const auto it = byId.find(run.request);
        if (it != byId.end() && isBad(run, *it->second))
            badAt.push_back(it->second->at + it->second->tookMs);
    }
    std::sort(badAt.begin(), badAt.end());
    const auto late = badAt.size() < 50 ? 0 : std::count_if(counts.newRuns.begin(), counts.newRuns.end(), [&](const auto& run) { return byId.contains(run.request) && byId[run.request]->at > badAt[49] + rollbackMs; });
    const std::string text = "v2 got " + std::to_string(reached) + " of " + std::to_string(all) + " requests between the order and its time budget (limit " + std::to_string(static_cast<int>(limit)) + " for a bad version), and " + std::to_string(late) + " that were sent over 5 s after its 50th bad answer; " + more + "; rollout " + counts.state;
    return verdict(play, play.trouble ? static_cast<double>(reached) > limit || late > 0 : counts.state != "completed", text);
}

// A new version that fails half of its requests once a runner gets as many a second as each runner of the old version did.
static int playVersionUnderLoad(Play& play)
{
    Deployment deployment(play.root, play.folder, play.record, s_fronts, s_cores);
    Cloud cloud(deployment);
    deployment.startAll();
    Operator user(deployment);
    if (user.order("PUT", "/config", manifest(1, "desk", "desk.example", "non_idempotent"), 20000).status() != 200)
        return fail(play, "no acknowledged manifest");
    auto old = startRunners(deployment, "desk", "v1", 1, 3);
    sleepMs(4000);
    Clients clients(deployment, { .host = "desk.example", .path = "/desk/a", .zone = "lhr-depot", .count = 24, .perSecond = 60, .headers = {} });
    sleepMs(5000);
    std::vector<Runner::Run> runs;
    collectRuns(runs, old);
    const double usualLoad = static_cast<double>(std::count_if(runs.begin(), runs.end(), [now = steadyMs()](const auto& it) { return it.at >= now - 3000; })) / 3 / static_cast<double>(old.size());
    play.record.line("usual load of a runner: " + std::to_string(usualLoad) + " requests a second");
    struct Load {
        std::mutex mutex;
        std::vector<int64_t> arrivals;
        int number = 0;
    };
    std::vector<std::unique_ptr<Runner>> fresh;
    for (int n = 0; n < 3; ++n) {
        auto load = std::make_shared<Load>();
        const bool isBad = play.trouble;
        auto one = startRunners(deployment, "desk", "v2", 11 + n, 1, [load, isBad, usualLoad](int) {
            const std::lock_guard lock(load->mutex);
            const int64_t now = steadyMs();
            load->arrivals.push_back(now);
            std::erase_if(load->arrivals, [&](int64_t at) { return now - at > 1000; });
            return isBad && static_cast<double>(load->arrivals.size()) >= usualLoad && ++load->number % 2;
        });
        fresh.push_back(std::move(one.front()));
    }
    sleepMs(3000);
    RolloutCounts counts;
    if (!followRollout(play, user, old, fresh, counts))
        return fail(play, "the rollout was not acknowledged");
    clients.stop();
    const auto sent = clients.sent();
    const auto failures = std::count_if(sent.begin(), sent.end(), [&](const auto& it) { return it.at >= counts.orderedAt && it.status == 500; });
    return judgeExposure(
        play, counts, sent, [](const auto& run, const auto&) { return run.failed; }, std::to_string(failures) + " bookings failed");
}

// A new version whose streams begin as soon as those of the old one, and take several times as long.
static int playSlowStreams(Play& play)
{
    static constexpr int events = 25;
    static constexpr int gapMs = 20;
    static constexpr int slowness = 6;
    Deployment deployment(play.root, play.folder, play.record, s_fronts, s_cores);
    Cloud cloud(deployment);
    deployment.startAll();
    Operator user(deployment);
    if (user.order("PUT", "/config", manifest(1, "desk", "desk.example", "streaming"), 20000).status() != 200)
        return fail(play, "no acknowledged manifest");
    const auto startStreaming = [&](const std::string& version, int first, int gap) {
        std::vector<std::unique_ptr<Runner>> out;
        static const char* const zones[] = { "lhr-depot", "lhr-gulberg", "lhr-shahdara" };
        for (int n = 0; n < 3; ++n)
            out.push_back(std::make_unique<Runner>(deployment, Runner::Options { .id = "i-" + randomId().substr(0, 8), .service = "desk", .version = version, .zone = zones[n], .address = { deployment.address(2, first + n), deployment.ports().runner }, .slots = 64, .events = events, .gapMs = gap }));
        return out;
    };
    auto old = startStreaming("v1", 1, gapMs);
    sleepMs(4000);
    Clients clients(deployment, { .host = "desk.example", .path = "/desk/a", .zone = "lhr-depot", .count = 160, .perSecond = 40, .deadlineMs = 15000, .headers = { { "Model", "m" }, { "Token-Usage", "715,75" }, { "Prefix-Hash", "5c1e07a2:172,91bd3f06:543" } } });
    sleepMs(5000);
    auto fresh = startStreaming("v2", 11, play.trouble ? gapMs * slowness : gapMs);
    sleepMs(3000);
    RolloutCounts counts;
    if (!followRollout(play, user, old, fresh, counts))
        return fail(play, "the rollout was not acknowledged");
    clients.stop();
    const auto sent = clients.sent();
    const auto median = [&](int64_t from, int64_t to) {
        std::vector<int64_t> took;
        for (const auto& it : sent) {
            if (it.at >= from && it.at < to && it.status == 200)
                took.push_back(it.tookMs);
        }
        std::sort(took.begin(), took.end());
        return took.empty() ? 0 : took[took.size() / 2];
    };
    const int64_t usual = median(0, counts.orderedAt);
    return judgeExposure(
        play, counts, sent, [&](const auto&, const auto& it) { return it.status == 200 && it.tookMs > usual * 3; }, "median time of a stream " + std::to_string(usual) + " ms before the order, " + std::to_string(median(counts.budgetEnds, steadyMs())) + " ms after its time budget");
}

// A new version whose answers take eight times as long, which is longer than callers wait.
static int playSlowVersion(Play& play)
{
    static constexpr int workMs = 150;
    static constexpr int slowness = 8;
    Deployment deployment(play.root, play.folder, play.record, s_fronts, s_cores);
    Cloud cloud(deployment);
    deployment.startAll();
    Operator user(deployment);
    if (user.order("PUT", "/config", manifest(1, "desk", "desk.example", "non_idempotent"), 20000).status() != 200)
        return fail(play, "no acknowledged manifest");
    const auto startWorking = [&](const std::string& version, int first, int work) {
        std::vector<std::unique_ptr<Runner>> out;
        static const char* const zones[] = { "lhr-depot", "lhr-gulberg", "lhr-shahdara" };
        for (int n = 0; n < 3; ++n)
            out.push_back(std::make_unique<Runner>(deployment, Runner::Options { .id = "i-" + randomId().substr(0, 8), .service = "desk", .version = version, .zone = zones[n], .address = { deployment.address(2, first + n), deployment.ports().runner }, .slots = 24, .workMs = work }));
        return out;
    };
    auto old = startWorking("v1", 1, workMs);
    sleepMs(4000);
    Clients clients(deployment, { .host = "desk.example", .path = "/desk/a", .zone = "lhr-depot", .count = 80, .perSecond = 40, .headers = {} });
    sleepMs(5000);
    auto fresh = startWorking("v2", 11, play.trouble ? workMs * slowness : workMs);
    sleepMs(3000);
    RolloutCounts counts;
    if (!followRollout(play, user, old, fresh, counts))
        return fail(play, "the rollout was not acknowledged");
    clients.stop();
    const auto sent = clients.sent();
    std::set<std::string> ran;
    for (const auto& run : counts.newRuns)
        ran.insert(run.request);
    const auto unanswered = std::count_if(sent.begin(), sent.end(), [&](const auto& it) { return ran.contains(it.request) && it.status != 200; });
    return judgeExposure(
        play, counts, sent, [](const auto&, const auto& it) { return it.status != 200; }, std::to_string(unanswered) + " bookings ran and their answers did not reach the callers in time");
}

// The process of the first seed is killed right after its first start, before the other machines are up.
static int playFounder(Play& play)
{
    Deployment deployment(play.root, play.folder, play.record, s_fronts, s_cores);
    Cloud cloud(deployment);
    // All machines start within 0.3 s of each other in any order: here the first seed is the first one.
    deployment.startOne(0);
    sleepMs(150);
    if (play.trouble)
        deployment.kill(deployment.machines().front(), SIGKILL);
    sleepMs(100);
    deployment.startOthers();
    Operator user(deployment);
    const bool isAcknowledged = user.order("PUT", "/config", manifest(1, "desk", "desk.example", "idempotent"), 40000).status() == 200;
    const auto runners = startRunners(deployment, "desk", "v1", 1, 3);
    sleepMs(2000);
    Clients clients(deployment, { .host = "desk.example", .path = "/desk/a", .zone = "lhr-depot", .perSecond = 20, .headers = {} });
    sleepMs(20000);
    clients.stop();
    const auto sent = clients.sent();
    const auto served = std::count_if(sent.begin(), sent.end(), [](const auto& it) { return it.status == 200; });
    const int refusals = clients.resolvesWithoutAddress();
    return verdict(play, !served, std::string(isAcknowledged ? "the manifest was acknowledged" : "no node acknowledged the manifest in 40 s") + "; in the 20 s after that, " + std::to_string(served) + " of " + std::to_string(sent.size()) + " requests were served, and the clients got no address " + std::to_string(refusals) + " times");
}

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::cerr << "usage: rig CASE ROOT FOLDER\n";
        return notRun;
    }
    std::signal(SIGPIPE, SIG_IGN);
    const std::string name = argv[1];
    const char* trouble = std::getenv("TROUBLE");
    const std::string folder = std::filesystem::temp_directory_path() / ("siskinshunt-review-" + randomId());
    std::filesystem::create_directories(folder);
    int result = notRun;
    {
        Record record(std::string(argv[3]) + "/record.txt");
        Play play { argv[2], folder, record, !trouble || std::string(trouble) != "0" };
        if (!std::filesystem::exists(play.root + "/target/bin/siskinshunt"))
            return fail(play, "target/bin/siskinshunt is missing: run the build of the deploy file");
        const std::map<std::string, int (*)(Play&)> cases { { "address", playAddress }, { "foreign-server", playForeignServer }, { "stale-order", playStaleOrder }, { "version-under-load", playVersionUnderLoad }, { "slow-streams", playSlowStreams }, { "slow-version", playSlowVersion }, { "founder", playFounder } };
        const auto it = cases.find(name);
        result = it == cases.end() ? fail(play, "no such case: " + name) : it->second(play);
    }
    if (!std::getenv("KEEP"))
        std::filesystem::remove_all(folder);
    else
        std::cout << folder << '\n';
    return result;
}
