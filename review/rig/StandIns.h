// Stand-ins for the platform, the operator, the runners and the clients. They behave as the users' pages say.
#pragma once

#include "Deployment.h"

#include <algorithm>

namespace rig {

// The infrastructure's API: accepts what the holder of a duty sends.
class Cloud {
public:
    explicit Cloud(Deployment& deployment)
        : m_server({ deployment.address(3, 1), deployment.ports().cloud }, [&deployment](const Message& request, Socket& socket) {
            deployment.record().line("cloud " + request.target() + " from " + headerOf(request.headers, "Lease-Holder") + " fence " + headerOf(request.headers, "Fencing-Token") + " " + request.body);
            return socket.send(formatMessage("HTTP/1.1 200 OK", { { "Content-Type", "application/json" } }, "{}", true), steadyMs() + 1000);
        })
    {
    }

private:
    Server m_server;
};

// Calls the nodes that serve control, in turn, until one gives a clear response. A node that gave no response is left out for some seconds.
class Operator {
public:
    explicit Operator(Deployment& deployment)
        : m_deployment(deployment)
    {
    }

    Message order(const std::string& method, const std::string& target, const std::string& body, int64_t forMs, bool isLogged = true)
    {
        const auto cores = m_deployment.ofClass("core");
        const int64_t end = steadyMs() + forMs;
        Message last;
        for (size_t n = m_next++; steadyMs() < end; ++n) {
            Address to { cores[n % cores.size()]->ip, m_deployment.ports().control };
            if (steadyMs() < m_avoidUntil[to.ip]) {
                sleepMs(1);
                continue;
            }
            for (int redirects = 0; redirects < 3; ++redirects) {
                last = call(to, method, target, { { "Content-Type", "application/json" } }, body, 1000);
                if (!last.complete)
                    avoid(to.ip);
                if (last.status() != 307)
                    break;
                const std::string location = headerOf(last.headers, "Location");
                to = parseAddress(location.substr(7, location.find('/', 7) - 7));
            }
            if (last.complete && last.status() >= 200 && last.status() < 500 && last.status() != 307 && last.status() != 408 && last.status() != 429) {
                if (isLogged)
                    m_deployment.record().line("operator " + method + " " + target + " -> " + std::to_string(last.status()) + " " + last.body.substr(0, 80));
                return last;
            }
            sleepMs(100);
        }
        if (isLogged)
            m_deployment.record().line("operator " + method + " " + target + " has no clear response, last status " + std::to_string(last.status()));
        return {};
    }

    void avoid(const std::string& ip) { m_avoidUntil[ip] = steadyMs() + avoidMs; }

private:
    static constexpr int64_t avoidMs = 8000;

    Deployment& m_deployment;
    size_t m_next = 0;
    std::map<std::string, int64_t> m_avoidUntil;
};

inline std::string randomId()
{
    static std::mutex s_mutex;
    static std::mt19937_64 s_random(std::random_device {}());
    const std::lock_guard lock(s_mutex);
    char text[20];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(s_random()));
    return text;
}

// A runner of a service: registers with the nodes that serve control and runs requests.
class Runner {
public:
    struct Options {
        std::string id;
        std::string service;
        std::string version = "v1";
        std::string zone;
        Address address;
        int slots = 6;
        int workMs = 30;
        /// Whether a request fails, given the number of requests that the runner works on.
        std::function<bool(int running)> fails = [](int) { return false; };
        int events = 0; ///< Of a stream; 0 for a plain answer.
        int gapMs = 20; ///< Between the events of a stream.
    };
    struct Run {
        std::string request;
        int64_t at = 0;
        bool failed = false;
    };

    Runner(Deployment& deployment, Options options)
        : m_deployment(deployment)
        , m_options(std::move(options))
        , m_born(unixMs())
    {
        m_server = std::make_unique<Server>(m_options.address, [this](const Message& request, Socket& socket) { return serve(request, socket); });
        m_reporter = std::thread([this] { report(); });
    }
    ~Runner()
    {
        m_stopping = true;
        m_reporter.join();
        m_server.reset();
    }
    const Options& options() const { return m_options; }
    void setDraining() { m_draining = true; }

    std::vector<Run> runs()
    {
        const std::lock_guard lock(m_mutex);
        return m_runs;
    }

private:
    void report()
    {
        const auto cores = m_deployment.ofClass("core");
        size_t at = std::hash<std::string> {}(m_options.id);
        int64_t sequence = 0;
        while (!m_stopping) {
            json::object body { { "service", m_options.service }, { "address", m_options.address.text() }, { "zone", m_options.zone }, { "version", m_options.version }, { "slots", m_options.slots }, { "state", m_draining ? "draining" : "ready" }, { "coldRemainingMs", 0 }, { "sequence", ++sequence }, { "born", m_born } };
            if (m_options.events) {
                body["phase"] = "mixed";
                body["models"] = json::array { json::object { { "name", "m" }, { "version", 1 }, { "adapters", json::array {} } } };
            }
            for (size_t tries = 0; tries < cores.size() && !m_stopping; ++tries) {
                const Message answer = call({ cores[at % cores.size()]->ip, m_deployment.ports().control }, "PUT", "/instances/" + m_options.id, { { "Content-Type", "application/json" } }, json::serialize(body), 1000);
                if (answer.complete && answer.status() >= 200 && answer.status() < 300)
                    break;
                ++at;
            }
            for (int n = 0; n < 60 && !m_stopping; ++n)
                sleepMs(20);
        }
    }

    bool reply(Socket& socket, const std::string& startLine, Headers headers, const std::string& body)
    {
        return socket.send(formatMessage(startLine, headers, body, true), steadyMs() + 2000);
    }

    bool serve(const Message& request, Socket& socket)
    {
        const std::string id = headerOf(request.headers, "Request-Id");
        if (request.target() == "/health")
            return reply(socket, "HTTP/1.1 200 OK", { { "Instance-Id", m_options.id } }, "");
        const Headers echo { { "Request-Id", id } };
        if (id.empty())
            return reply(socket, "HTTP/1.1 400 Bad Request", { { "Not-Executed", "1" } }, "");
        if (const std::string target = headerOf(request.headers, "Target-Instance"); !target.empty() && target != m_options.id)
            return reply(socket, "HTTP/1.1 421 Misdirected Request", { { "Request-Id", id }, { "Not-Executed", "1" } }, "");
        const int running = ++m_running;
        if (running > m_options.slots + 24) {
            --m_running;
            return reply(socket, "HTTP/1.1 503 Service Unavailable", { { "Request-Id", id }, { "Not-Executed", "1" } }, "");
        }
        const bool failed = m_options.fails(running);
        {
            const std::lock_guard lock(m_mutex);
            m_runs.push_back({ id, steadyMs(), failed });
        }
        m_deployment.record().line("run " + id + " at " + m_options.id + " " + m_options.version + (failed ? " fails" : ""));
        sleepMs(m_options.workMs);
        if (m_options.events) {
            const bool isSent = sendStream(socket, id);
            --m_running;
            return isSent;
        }
        --m_running;
        if (failed)
            return reply(socket, "HTTP/1.1 500 Internal Server Error", { { "Request-Id", id }, { "Response-Signature", "sig-" + id } }, "{\"error\":\"failed\"}");
        return reply(socket, "HTTP/1.1 200 OK", { { "Request-Id", id }, { "Response-Signature", "sig-" + id } }, "answer of " + m_options.id + " to " + id);
    }

    // The first event comes after the work, the others after a gap each.
    bool sendStream(Socket& socket, const std::string& id)
    {
        const Headers headers { { "Request-Id", id }, { "Response-Signature", "sig-" + id }, { "Content-Type", "text/event-stream" }, { "Transfer-Encoding", "chunked" } };
        bool isSent = socket.send(formatMessage("HTTP/1.1 200 OK", headers, "", false), steadyMs() + 2000);
        for (int n = 1; isSent && n <= m_options.events; ++n) {
            if (n > 1)
                sleepMs(m_options.gapMs);
            const std::string event = "id: " + std::to_string(n) + "\ndata: token " + std::to_string(n) + "\n\n";
            char size[16];
            std::snprintf(size, sizeof(size), "%zx", event.size());
            isSent = !socket.isClosedByPeer() && socket.send(size + std::string("\r\n") + event + "\r\n", steadyMs() + 2000);
        }
        return isSent && socket.send("0\r\n\r\n", steadyMs() + 2000);
    }

    Deployment& m_deployment;
    Options m_options;
    int64_t m_born;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_draining { false };
    std::atomic<int> m_running { 0 };
    std::mutex m_mutex;
    std::vector<Run> m_runs;
    std::unique_ptr<Server> m_server;
    std::thread m_reporter;
};

// Clients that ask the directory where to connect and send requests over kept channels, one after the other each.
class Clients {
public:
    struct Options {
        std::string host;
        std::string path;
        std::string method = "POST";
        std::string zone;
        int count = 12;
        double perSecond = 40; ///< Of all clients together.
        int deadlineMs = 1000;
        Headers headers; ///< Beside those that every request has.
    };
    struct Sent {
        std::string request;
        int64_t at = 0;
        int64_t tookMs = 0; ///< To the end of the answer.
        int status = 0; ///< 0: no answer.
        std::string body;
        std::string node;
        bool signedAnswer = false;
    };

    Clients(Deployment& deployment, Options options)
        : m_deployment(deployment)
        , m_options(std::move(options))
    {
        for (int n = 0; n < m_options.count; ++n)
            m_threads.emplace_back([this, n] { run(n); });
    }
    ~Clients() { stop(); }
    void stop()
    {
        m_stopping = true;
        for (auto& it : m_threads) {
            if (it.joinable())
                it.join();
        }
    }
    std::vector<Sent> sent()
    {
        const std::lock_guard lock(m_mutex);
        return m_sent;
    }
    int resolvesWithoutAddress() const { return m_resolvesWithoutAddress; }

private:
    std::vector<std::string> resolve(std::mt19937& random)
    {
        auto cores = m_deployment.ofClass("core");
        std::shuffle(cores.begin(), cores.end(), random);
        for (size_t n = 0; n < 3 && n < cores.size(); ++n) {
            const Message answer = call({ cores[n]->ip, m_deployment.ports().directory }, "GET", "/resolve?name=" + m_options.host + "&region=pk-punjab&zone=" + m_options.zone, {}, "", 1000);
            if (!answer.complete || answer.status() != 200)
                continue;
            std::vector<std::string> out;
            json::error_code ec;
            const auto body = json::parse(answer.body, ec);
            if (ec || !body.is_object() || !body.as_object().contains("addresses"))
                continue;
            for (const auto& it : body.at("addresses").as_array())
                out.emplace_back(it.as_string());
            return out;
        }
        return {};
    }

    void run(int number)
    {
        std::mt19937 random(static_cast<unsigned>(number) + 17);
        const auto interval = static_cast<int64_t>(1000.0 * m_options.count / m_options.perSecond);
        std::vector<std::string> addresses;
        int64_t resolvedAt = -100000;
        Socket socket;
        std::string connectedTo;
        int64_t next = steadyMs() + static_cast<int64_t>(random() % static_cast<unsigned>(interval));
        while (!m_stopping) {
            sleepMs(std::min<int64_t>(next - steadyMs(), 100));
            if (steadyMs() < next)
                continue;
            next += interval;
            if (steadyMs() - resolvedAt > 2000) {
                if (auto fresh = resolve(random); !fresh.empty()) {
                    addresses = fresh;
                    resolvedAt = steadyMs();
                } else
                    ++m_resolvesWithoutAddress;
            }
            if (addresses.empty())
                continue;
            Sent sent { .request = randomId(), .at = steadyMs(), .tookMs = 0, .body = {}, .node = {} };
            const int64_t deadline = sent.at + m_options.deadlineMs;
            if (socket.isOpen() && (socket.isClosedByPeer() || std::find(addresses.begin(), addresses.end(), connectedTo) == addresses.end()))
                socket.close();
            if (!socket.isOpen()) {
                std::shuffle(addresses.begin(), addresses.end(), random);
                for (const auto& address : addresses) {
                    connectedTo = address;
                    if (socket.connect(parseAddress(address), std::min(deadline, steadyMs() + 1000)))
                        break;
                }
            }
            sent.node = connectedTo;
            if (socket.isOpen()) {
                const std::string body = m_options.method == "POST" ? std::string(600, 'b') : "";
                Headers headers { { "Host", m_options.host }, { "Request-Id", sent.request }, { "Deadline-Ms", std::to_string(m_options.deadlineMs) }, { "Authorization", "Bearer key-of-the-tenant" } };
                headers.insert(headers.end(), m_options.headers.begin(), m_options.headers.end());
                m_deployment.record().line("send " + sent.request + " to " + connectedTo);
                if (socket.send(formatMessage(m_options.method + " " + m_options.path + " HTTP/1.1", headers, body, m_options.method == "POST"), deadline)) {
                    const Message answer = socket.readMessage(true, deadline);
                    if (answer.complete) {
                        sent.status = answer.status();
                        sent.body = answer.body;
                        sent.signedAnswer = !headerOf(answer.headers, "Response-Signature").empty();
                    }
                    if (!answer.complete || headerOf(answer.headers, "Connection") == "close")
                        socket.close();
                } else
                    socket.close();
            }
            sent.tookMs = steadyMs() - sent.at;
            m_deployment.record().line("answer " + sent.request + " " + (sent.status ? std::to_string(sent.status) + " after " + std::to_string(sent.tookMs) + " ms" : "none"));
            const std::lock_guard lock(m_mutex);
            m_sent.push_back(std::move(sent));
        }
    }

    Deployment& m_deployment;
    Options m_options;
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_resolvesWithoutAddress { 0 };
    std::mutex m_mutex;
    std::vector<Sent> m_sent;
    std::vector<std::thread> m_threads;
};

// A manifest with one service and one tenant without an allowance to keep.
inline std::string manifest(int version, const std::string& service, const std::string& host, const std::string& kind)
{
    const bool isStream = kind == "streaming";
    json::object body {
        { "version", version },
        { "routes", json::array { json::object { { "name", "r-desk" }, { "host", host }, { "pathPrefix", "/desk/" }, { "kind", kind }, { "timeoutMs", 1000 }, { "targetLatencyMs", 150 }, { "priority", 2 }, { "service", service }, { "maxAttempts", 2 }, { "allowAnonymous", false }, { "sessionAffinity", false }, { "streamResume", false } } } },
        { "services", json::array { json::object { { "name", service }, { "healthPath", "/health" }, { "maxConnections", 100 }, { "protocol", "h1" }, { "tls", false } } } },
        { "limits", json::object { { "maxHeaderBytes", 16384 }, { "maxBodyBytes", 4194304 }, { "headerTimeoutMs", 3000 }, { "idleTimeoutMs", 15000 } } },
        { "tenants", json::array { json::object { { "name", "tenant-a" }, { "apiKeys", json::array { "key-of-the-tenant" } }, { "priority", 1 }, { "unit", "tokens" }, { "plainTokens", 200 }, { "ratePerS", 541333 }, { "burst", 541333 } } } },
    };
    if (isStream) {
        auto& route = body["routes"].as_array()[0].as_object();
        route["timeoutMs"] = 15000;
        route["targetLatencyMs"] = 400;
        route["targetGapMs"] = 250;
        route["sessionAffinity"] = true;
        auto& described = body["services"].as_array()[0].as_object();
        described["maxConnections"] = 360;
        described["engine"] = json::object { { "slots", 64 }, { "kvCapacity", 232000 }, { "kvTokenBytes", 18432 }, { "linkMbps", 550000.0 }, { "models", json::array { json::object { { "name", "m" } } } } };
    }
    return json::serialize(body);
}

}
