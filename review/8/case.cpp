// Case 8: an operator who orders another version while a bad one is being rolled out makes the bad one an ordinary version.
#include "rig.h"

using namespace rig;

static constexpr int64_t budgetMs = 12000; // durationS of the orders.
static constexpr int64_t rollbackMs = 5000;
static constexpr double exposureShare = 0.1;
static constexpr double exposureSlack = 50;
static constexpr int badEvery = 4; // The bad version fails each fourth request.

static const char* manifest = R"({"version":1,"routes":[{"name":"r-book","host":"desk.example","pathPrefix":"/book/","kind":"non_idempotent","timeoutMs":1500,"targetLatencyMs":300,"priority":2,"service":"showroom-app","maxAttempts":1,"allowAnonymous":true}],"services":[{"name":"showroom-app","healthPath":"/health","maxConnections":110,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

struct Seen {
    int64_t at = 0;
    int64_t sent = 0;
    bool failed = false;
};

int main(int argc, char** argv)
{
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = !setting || std::string(setting) != "0";
    Record record(std::string(argc > 1 ? argv[1] : ".") + "/record.txt");
    Fleet fleet(4, 5);
    Cloud cloud(fleet.cloud());
    fleet.start();

    std::mutex mutex;
    std::map<std::string, std::vector<Seen>> seen; // By version.
    const auto workOf = [&](const std::string& version, bool bad) {
        return [&, version, bad](const Message& request) {
            const std::string id = request.header("Request-Id");
            bool fails = false;
            {
                const std::lock_guard lock(mutex);
                auto& list = seen[version];
                fails = bad && (list.size() + 1) % badEvery == 0;
                list.push_back({ nowMs(), std::atoll(id.c_str() + id.rfind('-') + 1), fails });
            }
            record.line("run    %s %s%s", id.c_str(), version.c_str(), fails ? ", fails" : "");
            sleepMs(60);
            return answerText(fails ? 500 : 200, id, fails ? "failed" : "booked");
        };
    };
    const auto startRunners = [&](const std::string& version, int firstAddress, bool bad) {
        std::vector<std::unique_ptr<Runner>> out;
        for (int n = 0; n < 3; ++n)
            out.push_back(std::make_unique<Runner>("i-" + version + "-" + std::to_string(n + 1), "showroom-app", version, fleet.ip(firstAddress + n) + ":8080", Fleet::zone(n), 6, fleet.control(), workOf(version, bad)));
        return out;
    };
    const auto order = [&](const std::string& version) {
        const auto reply = controlCall(fleet.control(), "POST", "/rollouts", R"({"service":"showroom-app","target":")" + version + R"(","durationS":12})", 4000);
        record.say("the operator orders %s: %d", version.c_str(), reply.status);
        return reply.status == 200;
    };

    const auto v1 = startRunners("v1", 150, false);
    if (controlCall(fleet.control(), "PUT", "/config", manifest, 15000).status != 200 || !fleet.waitReady(10000)) {
        record.say("the deployment did not become ready");
        return 2;
    }
    sleepMs(2500);

    std::atomic<bool> stop { false };
    std::atomic<int> number { 0 };
    std::map<int, int> answers; // By status.
    std::vector<std::thread> clients;
    for (Node* front : fleet.fronts()) {
        for (int n = 0; n < 5; ++n) {
            clients.emplace_back([&, front, n] {
                std::string in;
                int fd = -1;
                int64_t next = nowMs() + 40 * n;
                while (!stop) {
                    sleepMs(next - nowMs());
                    next += 200;
                    const std::string id = "b" + std::to_string(++number) + "-" + std::to_string(nowMs());
                    const int64_t until = nowMs() + 1500;
                    if (fd < 0) {
                        fd = connectTo(front->front(), until);
                        in.clear();
                    }
                    int status = 0;
                    if (fd >= 0 && sendAll(fd, requestText("POST", "/book/slot", "desk.example", { { "Request-Id", id }, { "Deadline-Ms", "1500" } }, "order"), until)) {
                        if (const auto message = readMessage(fd, in, until, true))
                            status = message->status();
                    }
                    if (!status && fd >= 0) {
                        ::close(fd);
                        fd = -1;
                    }
                    record.line("answer %s: %d", id.c_str(), status);
                    const std::lock_guard lock(mutex);
                    ++answers[status];
                }
                if (fd >= 0)
                    ::close(fd);
            });
        }
    }
    sleepMs(3000);

    // The bad version, with its runners beside the old ones.
    const int64_t orderedAt = nowMs();
    bool ran = order("v2");
    const auto v2 = startRunners("v2", 160, true);
    sleepMs(orderedAt + 3000 - nowMs());
    if (trouble)
        ran = order("v1") && ran;
    std::string state;
    while (nowMs() < orderedAt + budgetMs) {
        const auto reply = controlCall(fleet.control(), "GET", "/rollouts/showroom-app", {}, 1000);
        if (reply.status == 200 && reply.body != state) {
            state = reply.body;
            record.say("%lld ms after the order of v2: %s", static_cast<long long>(nowMs() - orderedAt), state.c_str());
        }
        sleepMs(100);
    }
    stop = true;
    for (auto& client : clients)
        client.join();

    const std::lock_guard lock(mutex);
    std::map<std::string, std::vector<int>> bySecond;
    int all = 0;
    int exposed = 0;
    int failed = 0;
    int late = 0;
    int64_t fiftieth = 0;
    for (const auto& [version, list] : seen) {
        auto& seconds = bySecond[version];
        seconds.resize(static_cast<size_t>(budgetMs / 1000));
        for (const auto& it : list) {
            if (it.at < orderedAt || it.at >= orderedAt + budgetMs)
                continue;
            ++all;
            ++seconds[static_cast<size_t>((it.at - orderedAt) / 1000)];
            exposed += version == "v2";
        }
    }
    for (const auto& it : seen["v2"]) {
        failed += it.failed;
        if (failed == 50 && !fiftieth)
            fiftieth = it.at;
        late += fiftieth && it.sent > fiftieth + rollbackMs;
    }
    for (const auto& [version, seconds] : bySecond) {
        std::string text;
        for (const int n : seconds)
            text += " " + std::to_string(n);
        record.say("requests at %s in each second after the order of v2:%s", version.c_str(), text.c_str());
    }
    for (const auto& [status, n] : answers)
        record.say("answers with status %d: %d", status, n);
    const double limit = exposureShare * all + exposureSlack;
    record.say("EXPOSURE: v2 got %d of %d requests until its time budget (%.0f are allowed); %d of them failed", exposed, all, limit, failed);
    record.say("EXPOSURE: requests at v2 that were sent later than 5 s after its 50th bad answer: %d (0 are allowed)", late);
    if (!ran || all < 600)
        return 2;
    return exposed > limit || late > 0 ? 1 : 0;
}
