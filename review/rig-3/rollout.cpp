// A roll-out to a version that turns bad late, while all processes of the core are killed once and come back. Judges EXPOSURE.
// Usage: rollout FOLDER RECORD DURATION BAD_AFTER KILL_AFTER DOWN MODE [RATE [AFTER [BOOKINGS [LOAD]]]]; times in seconds after the order was acknowledged.
// MODE: core: all processes of the core are killed; leader: that of the decision leader; none: they run on; good: they run on, and the version stays good. RATE: requests a second.
// AFTER: how long the traffic goes on after the time budget. BOOKINGS: so many of the requests a second are bookings, and only these fail at v2; 0: as many
// as on the sheet, and all may fail. LOAD: a runner of v2 fails only while it gets so many requests a second.

#include "rig.h"

#include <algorithm>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>

using namespace rig;

static const std::string service = "xano55b";
static constexpr double contactS = 3; // contactMs
static constexpr double rollbackS = 5; // rollbackMs
static constexpr double exposureShare = 0.1;
static constexpr double exposureSlack = 50;

// Requests that each runner got in the last second.
struct Arrivals {
    std::mutex mutex;
    std::map<std::string, std::deque<double>> byRunner;

    size_t add(const std::string& runner, double at)
    {
        const std::lock_guard lock(mutex);
        auto& times = byRunner[runner];
        times.push_back(at);
        while (times.front() < at - 1)
            times.pop_front();
        return times.size();
    }
};

int main(int argc, char** argv)
{
    if (argc < 8)
        return 2;
    std::signal(SIGPIPE, SIG_IGN);
    const std::string folder = argv[1];
    Record out(argv[2]);
    record = &out;
    const double duration = std::atof(argv[3]);
    const double badAfter = std::atof(argv[4]);
    const double killAfter = std::atof(argv[5]);
    const double down = std::atof(argv[6]);
    const std::string mode = argv[7];

    const double rate = argc > 8 ? std::atof(argv[8]) : 63;
    const double after = argc > 9 ? std::atof(argv[9]) : 16;
    const bool onlyBookings = argc > 10 && std::atof(argv[10]) > 0;
    const double bookings = onlyBookings ? std::atof(argv[10]) : rate * 5 / 7;

    const size_t failsFrom = argc > 11 ? static_cast<size_t>(std::atoi(argv[11])) : 0;
    Fleet machines(folder);
    Cloud cloud({ machines.address(0, 200), machines.ports.cloud });
    machines.startAll();
    const std::string manifest = R"({"version":7,"routes":[)"
                                 R"({"name":"r-book","host":"wuny96.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"xano55b","maxAttempts":1,"allowAnonymous":false,"sessionAffinity":false,"streamResume":false},)"
                                 R"({"name":"r-stock","host":"wuny96.example","pathPrefix":"/stock/","kind":"idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"xano55b","maxAttempts":2,"allowAnonymous":false,"sessionAffinity":false,"streamResume":false}],)"
                                 R"("services":[{"name":"xano55b","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],)"
                                 R"("limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000},)"
                                 R"("tenants":[{"name":"hule930","apiKeys":["i9n73hh2b9wu3fexd9dn"],"priority":1,"unit":"tokens","plainTokens":200,"ratePerS":541333,"burst":541333}]})";
    if (order("PUT", "/config", manifest, 20).status != 200)
        cannotRun("the first manifest was not acknowledged");

    std::vector<std::unique_ptr<Runner>> oldRunners, newRunners;
    static const char* const zoneNames[] = { "jhb-north", "jhb-south", "pta-east" };
    for (int zone = 0; zone < 3; ++zone)
        oldRunners.push_back(std::make_unique<Runner>(RunnerOptions { .id = "i-old-" + std::to_string(zone), .service = service, .zone = zoneNames[zone], .version = "v1", .address = { machines.address(zone, 46), machines.ports.runner } }));
    sleepUntil(std::max(10.0, now() + 2));
    Load load({ { .method = "POST", .path = "/book/5/", .host = "wuny96.example", .key = "i9n73hh2b9wu3fexd9dn", .perS = bookings, .deadlineS = 3, .body = "{\"slot\":5}" },
                  { .method = "GET", .path = "/stock/7/", .host = "wuny96.example", .key = "i9n73hh2b9wu3fexd9dn", .perS = rate - bookings, .deadlineS = 3 } },
        1);
    sleepFor(5);
    const auto served = [&] {
        const std::lock_guard lock(load.mutex);
        return std::count_if(load.attempts.begin(), load.attempts.end(), [](const Attempt& it) { return it.status == 200; });
    };
    if (static_cast<double>(served()) < rate * 2)
        cannotRun("the system does not serve: " + std::to_string(served()) + " requests");

    const auto ordered = order("POST", "/rollouts", "{\"service\":\"" + service + "\",\"target\":\"v2\",\"durationS\":" + std::to_string(static_cast<int>(duration)) + "}", 4);
    if (ordered.status / 100 != 2)
        cannotRun("the roll-out was not acknowledged");
    const double orderedAt = now();
    note("=== the roll-out to v2 is acknowledged; its time budget ends at %.3f", orderedAt + duration);
    // Bad: three in five of its answers are failures.
    const auto statusOfNew = [=, arrivals = std::make_shared<Arrivals>()](const Message& request, double at) {
        const std::string id = headerOf(request.headers, "Request-Id");
        const bool fails = std::hash<std::string> {}(id) % 5 < 3;
        const bool concerned = !onlyBookings || request.start.starts_with("POST /book/");
        const bool loaded = arrivals->add(headerOf(request.headers, "Target-Instance"), at) >= failsFrom;
        return mode != "good" && concerned && loaded && at >= orderedAt + badAfter && fails ? 500 : 200;
    };
    sleepFor(0.5);
    for (int zone = 0; zone < 3; ++zone)
        newRunners.push_back(std::make_unique<Runner>(RunnerOptions { .id = "i-new-" + std::to_string(zone), .service = service, .zone = zoneNames[zone], .version = "v2", .address = { machines.address(zone, 47), machines.ports.runner }, .status = statusOfNew }));

    // The platform follows the state, and acts on it as PROTOCOL.md says.
    std::string state;
    double completedAt = 0, rolledBackAt = 0;
    std::atomic<bool> over { false };
    std::thread platform([&] {
        while (!over && state.empty()) {
            const auto answer = readBack("/rollouts/" + service, 1.5);
            if (answer.complete && answer.status == 200) {
                const bool completed = answer.body.find("\"completed\"") != std::string::npos;
                const bool rolledBack = answer.body.find("\"rolled_back\"") != std::string::npos;
                if (completed || rolledBack) {
                    state = completed ? "completed" : "rolled_back";
                    note("=== the roll-out is said to be %s", state.c_str());
                    (completed ? completedAt : rolledBackAt) = now();
                }
            }
            sleepFor(0.2);
        }
        if (state == "completed")
            for (auto& it : oldRunners)
                it->stop();
        if (state == "rolled_back") {
            sleepFor(2);
            for (auto& it : newRunners)
                it->drain(2.5);
        }
    });

    double unstableFrom = 1e9, unstableUntil = 0;
    if (mode == "core" || mode == "leader") {
        sleepUntil(orderedAt + killAfter);
        std::vector<Machine*> killed = machines.core();
        // The leader answers reads itself; the others redirect to it.
        if (mode == "leader")
            std::erase_if(killed, [&](Machine* it) { return call(machines.control(*it), "GET", "/rollouts/" + service, {}, "", 0.5).status != 200; });
        note("=== %zu processes of the core are killed", killed.size());
        const double killedAt = unstableFrom = now();
        for (Machine* it : killed)
            ::kill(it->pid, SIGKILL);
        for (Machine* it : killed)
            machines.kill(*it, SIGKILL);
        sleepUntil(killedAt + down);
        for (Machine* it : killed)
            machines.start(*it, false);
        note("=== they are started again after %.3f s", now() - killedAt);
        unstableUntil = now() + contactS;
    }
    sleepUntil(orderedAt + duration + after);
    load.stop();
    over = true;
    platform.join();

    // EXPOSURE, as RULES.md says it.
    size_t all = 0, toNew = 0, bad = 0, late = 0;
    double fiftieth = 0;
    // "Since the core was last unstable": what came before counts only if the core was stable all the time.
    std::map<std::string, double> sentAt;
    size_t answered = 0, failed = 0, none = 0;
    for (const auto& it : load.attempts) {
        sentAt[it.id] = it.sentAt;
        answered += it.status == 200;
        failed += it.status == 500;
        none += it.status == 0;
    }
    std::sort(runs.list.begin(), runs.list.end(), [](const Run& a, const Run& b) { return a.at < b.at; });
    for (const auto& it : runs.list) {
        if (it.at >= orderedAt && it.at <= orderedAt + duration) {
            ++all;
            // Counted are those from machines in touch: not while the core was unstable.
            toNew += it.version == "v2" && (it.at < unstableFrom || it.at > unstableUntil);
        }
        if (it.version == "v2" && it.status >= 500 && it.at >= unstableUntil && ++bad == 50)
            fiftieth = it.at + 0.06;
        if (it.version == "v2" && fiftieth && sentAt.contains(it.id) && sentAt[it.id] > fiftieth + rollbackS)
            ++late;
    }
    const bool isBad = mode != "good";
    const bool shareBroken = isBad && static_cast<double>(toNew) > exposureShare * static_cast<double>(all) + exposureSlack;
    const bool lateBroken = isBad && late > 0;
    note("=== state %s; completed at %.3f, rolled back at %.3f after the order", state.empty() ? "running" : state.c_str(), completedAt ? completedAt - orderedAt : 0, rolledBackAt ? rolledBackAt - orderedAt : 0);
    note("=== in the time budget %zu requests reached the service, %zu of them v2; allowed: %.0f", all, toNew, exposureShare * static_cast<double>(all) + exposureSlack);
    note("=== bad answers of v2 since the core was last unstable: %zu, the 50th at %.3f after the order; requests sent over %.0f s later that reached v2: %zu", bad, fiftieth ? fiftieth - orderedAt : 0, rollbackS, late);
    note("=== clients: %zu attempts, %zu got 200, %zu got 500, %zu no complete answer", load.attempts.size(), answered, failed, none);
    note("=== EXPOSURE %s", shareBroken || lateBroken ? "broken" : "held");
    std::printf("state %s; %zu of %zu to v2; %zu bad answers, %zu requests too late: EXPOSURE %s\n", state.empty() ? "running" : state.c_str(), toNew, all, bad, late, shareBroken || lateBroken ? "broken" : "held");
    std::fflush(stdout);
    for (auto& it : oldRunners)
        it->stop();
    for (auto& it : newRunners)
        it->stop();
    for (auto& it : machines.machines)
        if (it.pid)
            machines.kill(it, SIGKILL);
    std::_Exit(shareBroken || lateBroken ? 1 : 0);
}
