// Stand-ins and helpers of the cases of the second review: processes of the system with rendered settings, runners, clients, the operator and the
// infrastructure's API. Blocking sockets, one thread per connection. Loopback addresses only.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <csignal>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <ctime>
#include <fcntl.h>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <thread>
#include <utility>
#include <unistd.h>
#include <vector>

namespace rig {

// --- Time and record ---

inline int64_t nowMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now().time_since_epoch()).count();
}

inline int64_t wallMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

/// What was sent, answered and run, one line each, with the milliseconds since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_file(std::fopen(path.c_str(), "w"))
        , m_start(nowMs())
    {
    }
    ~Record()
    {
        if (m_file)
            std::fclose(m_file);
    }
    int64_t start() const { return m_start; }
    int64_t elapsed() const { return nowMs() - m_start; }

    __attribute__((format(printf, 2, 3))) void line(const char* format, ...)
    {
        char text[2048];
        va_list args;
        va_start(args, format);
        std::vsnprintf(text, sizeof(text), format, args);
        va_end(args);
        const std::lock_guard lock(m_mutex);
        if (!m_file)
            return;
        std::fprintf(m_file, "%8lld ms  %s\n", static_cast<long long>(elapsed()), text);
        std::fflush(m_file);
    }

    __attribute__((format(printf, 2, 3))) void say(const char* format, ...)
    {
        char text[2048];
        va_list args;
        va_start(args, format);
        std::vsnprintf(text, sizeof(text), format, args);
        va_end(args);
        line("%s", text);
        std::printf("%s\n", text);
        std::fflush(stdout);
    }

private:
    std::FILE* m_file;
    int64_t m_start;
    std::mutex m_mutex;
};

// --- Sockets ---

inline sockaddr_in addressOf(const std::string& endpoint)
{
    sockaddr_in out {};
    const auto colon = endpoint.rfind(':');
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<uint16_t>(std::stoi(endpoint.substr(colon + 1))));
    inet_pton(AF_INET, endpoint.substr(0, colon).c_str(), &out.sin_addr);
    return out;
}

inline bool waitFor(int fd, short events, int64_t until)
{
    const int64_t left = until - nowMs();
    if (left <= 0)
        return false;
    pollfd it { fd, events, 0 };
    return ::poll(&it, 1, static_cast<int>(left)) > 0;
}

inline int connectTo(const std::string& endpoint, int64_t until)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const auto to = addressOf(endpoint);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof(to)) != 0 && errno != EINPROGRESS) {
        ::close(fd);
        return -1;
    }
    int error = 0;
    socklen_t size = sizeof(error);
    if (!waitFor(fd, POLLOUT, until) || ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error) {
        ::close(fd);
        return -1;
    }
    const int one = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
    return fd;
}

inline bool sendAll(int fd, std::string_view bytes, int64_t until)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(fd, bytes.data(), bytes.size(), MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n > 0) {
            bytes.remove_prefix(static_cast<size_t>(n));
            continue;
        }
        if (n < 0 && errno != EAGAIN && errno != EINTR)
            return false;
        if (!waitFor(fd, POLLOUT, until))
            return false;
    }
    return true;
}

/// Returns false at the end of the channel, on an error, or at `until`.
inline bool receiveSome(int fd, std::string& in, int64_t until)
{
    char buf[65536];
    while (true) {
        const ssize_t n = ::recv(fd, buf, sizeof(buf), MSG_DONTWAIT);
        if (n > 0) {
            in.append(buf, static_cast<size_t>(n));
            return true;
        }
        if (n == 0 || (errno != EAGAIN && errno != EINTR))
            return false;
        if (!waitFor(fd, POLLIN, until))
            return false;
    }
}

// --- HTTP ---

struct Message {
    std::string first; ///< Request line or status line.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (key.size() == name.size() && ::strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }
    int status() const { return first.size() > 12 ? std::atoi(first.c_str() + 9) : 0; }
    std::string method() const { return first.substr(0, first.find(' ')); }
    std::string target() const
    {
        const auto a = first.find(' ');
        return first.substr(a + 1, first.find(' ', a + 1) - a - 1);
    }
};

/// Reads one message; `in` keeps what follows it. None if the channel ends, or not all of it comes in time.
inline std::optional<Message> readMessage(int fd, std::string& in, int64_t until, bool isResponse)
{
    size_t end = 0;
    while ((end = in.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveSome(fd, in, until))
            return std::nullopt;
    }
    Message out;
    std::istringstream head(in.substr(0, end + 2));
    in.erase(0, end + 4);
    std::string line;
    std::getline(head, out.first);
    if (!out.first.empty() && out.first.back() == '\r')
        out.first.pop_back();
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        const auto first = line.find_first_not_of(" \t", colon + 1);
        out.headers.emplace_back(line.substr(0, colon), first == std::string::npos ? std::string {} : line.substr(first));
    }
    if (const auto length = out.header("Content-Length"); !length.empty()) {
        const size_t n = std::stoul(length);
        while (in.size() < n) {
            if (!receiveSome(fd, in, until))
                return std::nullopt;
        }
        out.body = in.substr(0, n);
        in.erase(0, n);
    } else if (out.header("Transfer-Encoding") == "chunked") {
        while (true) {
            size_t eol = 0;
            while ((eol = in.find("\r\n")) == std::string::npos) {
                if (!receiveSome(fd, in, until))
                    return std::nullopt;
            }
            const size_t n = std::stoul(in.substr(0, eol), nullptr, 16);
            while (in.size() < eol + 2 + n + 2) {
                if (!receiveSome(fd, in, until))
                    return std::nullopt;
            }
            out.body += in.substr(eol + 2, n);
            in.erase(0, eol + 2 + n + 2);
            if (!n)
                break;
        }
    } else if (isResponse && out.status() != 204) {
        while (receiveSome(fd, in, until)) { }
        out.body = std::exchange(in, {});
    }
    return out;
}

struct Reply {
    int status = 0; ///< 0: the channel ended, or nothing came in time.
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;
};

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string requestText(const std::string& method, const std::string& target, const std::string& host, const Headers& headers, const std::string& body)
{
    std::string out = method + " " + target + " HTTP/1.1\r\nHost: " + host + "\r\n";
    for (const auto& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    if (!body.empty() || method != "GET")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

/// One request on a channel of its own.
inline Reply call(const std::string& endpoint, const std::string& method, const std::string& target, const std::string& body = {}, int64_t timeoutMs = 1000, const std::string& host = "node", const Headers& headers = {})
{
    const int64_t until = nowMs() + timeoutMs;
    const int fd = connectTo(endpoint, until);
    if (fd < 0)
        return {};
    Reply out;
    std::string in;
    if (sendAll(fd, requestText(method, target, host, headers, body), until)) {
        if (auto message = readMessage(fd, in, until, true))
            out = { message->status(), message->headers, message->body };
    }
    ::close(fd);
    return out;
}

/// A call to one of the nodes that serve control, as the operator and the runners make it: follows 307 twice, moves on after a failure.
inline Reply controlCall(const std::vector<std::string>& nodes, const std::string& method, const std::string& target, const std::string& body, int64_t forMs)
{
    static std::atomic<size_t> s_next { 0 };
    const int64_t until = nowMs() + forMs;
    Reply last;
    int64_t pause = 50;
    while (nowMs() < until) {
        std::string at = nodes[s_next++ % nodes.size()];
        for (int hop = 0; hop < 3; ++hop) {
            last = call(at, method, target, body, 1000);
            if (last.status != 307)
                break;
            std::string location;
            for (const auto& [name, value] : last.headers) {
                if (::strcasecmp(name.c_str(), "Location") == 0)
                    location = value;
            }
            const auto begin = location.find("//") + 2;
            at = location.substr(begin, location.find('/', begin) - begin);
        }
        if (last.status >= 200 && last.status < 500 && last.status != 307 && last.status != 408 && last.status != 429)
            return last;
        sleepMs(pause);
        pause = std::min<int64_t>(pause * 2, 400);
    }
    return last;
}

/// Accepts channels at an address; `serve` handles one channel and closes it by returning.
class Listener {
public:
    Listener(const std::string& endpoint, std::function<void(int)> serve)
        : m_serve(std::move(serve))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int one = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &one, sizeof(one));
        const auto at = addressOf(endpoint);
        m_ok = ::bind(m_fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0 && ::listen(m_fd, 1024) == 0;
        if (m_ok)
            m_thread = std::thread([this] { run(); });
    }
    ~Listener() { stop(); }
    bool ok() const { return m_ok; }

    /// Stops listening and resets the open channels.
    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        if (m_thread.joinable())
            m_thread.join();
        ::close(m_fd);
        {
            const std::lock_guard lock(m_mutex);
            const linger reset { 1, 0 };
            for (const int fd : m_open) {
                ::setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset, sizeof(reset));
                ::shutdown(fd, SHUT_RDWR);
            }
        }
        while (m_active)
            sleepMs(5);
    }

private:
    void run()
    {
        while (!m_stopped) {
            pollfd it { m_fd, POLLIN, 0 };
            if (::poll(&it, 1, 50) <= 0)
                continue;
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int one = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &one, sizeof(one));
            {
                const std::lock_guard lock(m_mutex);
                m_open.insert(fd);
            }
            ++m_active;
            std::thread([this, fd] {
                m_serve(fd);
                {
                    const std::lock_guard lock(m_mutex);
                    m_open.erase(fd);
                    ::close(fd);
                }
                --m_active;
            }).detach();
        }
    }

    std::function<void(int)> m_serve;
    int m_fd = -1;
    bool m_ok = false;
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_active { 0 };
    std::mutex m_mutex;
    std::set<int> m_open;
    std::thread m_thread;
};

// --- Settings ---

/// A value of the platform's settings, for the template of the deploy file.
struct Value {
    std::string text {}; ///< As printed; for JSON, quoted if `quoted`.
    bool quoted = false;
    bool isFalse = false;
    std::vector<Value> list {};
    std::vector<std::pair<std::string, Value>> map {};
    bool isList = false;
    bool isMap = false;
};

inline Value str(const std::string& text) { return { .text = text, .quoted = true }; }
inline Value num(const std::string& text) { return { .text = text }; }
inline Value flag(bool it) { return { .text = it ? "true" : "false", .isFalse = !it }; }
inline Value table(std::vector<std::pair<std::string, Value>> map) { return { .text = {}, .map = std::move(map), .isMap = true }; }
inline Value strings(const std::vector<std::string>& texts)
{
    Value out { .text = {}, .isList = true };
    for (const auto& it : texts)
        out.list.push_back(str(it));
    return out;
}

inline std::string toJson(const Value& value)
{
    std::string out;
    if (value.isList) {
        for (const auto& it : value.list)
            out += (out.empty() ? "" : ",") + toJson(it);
        return "[" + out + "]";
    }
    if (value.isMap) {
        for (const auto& [key, it] : value.map)
            out += (out.empty() ? "" : ",") + ("\"" + key + "\":") + toJson(it);
        return "{" + out + "}";
    }
    return value.quoted ? "\"" + value.text + "\"" : value.text;
}

inline const Value* find(const Value& root, const std::string& path)
{
    const Value* at = &root;
    std::istringstream in(path);
    std::string part;
    while (std::getline(in, part, '.')) {
        const Value* next = nullptr;
        for (const auto& [key, it] : at->map) {
            if (key == part)
                next = &it;
        }
        if (at->isList && std::stoul(part) < at->list.size())
            next = &at->list[std::stoul(part)];
        if (!next)
            return nullptr;
        at = next;
    }
    return at;
}

/// Fills in a template as DEPLOY.md describes it: {{a}}, {{a.b}}, {{a|json}}, sections, {{.}} and {{,}}.
inline std::string render(const std::string& text, const Value& root, const Value* entry = nullptr, bool last = true)
{
    std::string out;
    size_t at = 0;
    while (true) {
        const auto open = text.find("{{", at);
        out += text.substr(at, open == std::string::npos ? std::string::npos : open - at);
        if (open == std::string::npos)
            return out;
        const auto close = text.find("}}", open);
        std::string name = text.substr(open + 2, close - open - 2);
        at = close + 2;
        if (name == ",") {
            out += last ? "" : ",";
        } else if (name == ".") {
            out += entry ? entry->text : "";
        } else if (name[0] == '#' || name[0] == '^') {
            const std::string path = name.substr(1);
            const std::string end = "{{/" + path + "}}";
            const auto endAt = text.find(end, at);
            const std::string inner = text.substr(at, endAt - at);
            at = endAt + end.size();
            const Value* value = find(root, path);
            const bool present = value && !value->isFalse && !(value->isList && value->list.empty());
            if (name[0] == '^') {
                out += present ? "" : render(inner, root, entry, last);
            } else if (present && value->isList) {
                for (size_t n = 0; n < value->list.size(); ++n)
                    out += render(inner, root, &value->list[n], n + 1 == value->list.size());
            } else if (present) {
                out += render(inner, root, entry, last);
            }
        } else {
            const bool json = name.ends_with("|json");
            const Value* value = find(root, json ? name.substr(0, name.size() - 5) : name);
            out += !value ? "" : json ? toJson(*value) : value->text;
        }
    }
}

inline std::string readFile(const std::string& path)
{
    std::ifstream in(path);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

// --- Processes of the system ---

struct Node {
    std::string name;
    std::string ip;
    std::string zone;
    bool core = false;
    std::string settings; ///< Path of the rendered settings.
    std::string log;
    pid_t pid = 0;

    std::string front() const { return ip + ":8221"; }
    std::string ready() const { return ip + ":8224"; }
    std::string control() const { return ip + ":8229"; }
    std::string directory() const { return ip + ":8230"; }
};

inline void startNode(Node& node)
{
    node.pid = ::fork();
    if (node.pid != 0)
        return;
    // Ends with the script. Applies to the thread that starts the process, so that one has to live as long as the case.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(node.log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, 1);
    ::dup2(log, 2);
    ::setenv("SISKINSHUNT_CONFIG", node.settings.c_str(), 1);
    // The command of deploy/system.toml.
    ::execl("target/bin/siskinshunt", "target/bin/siskinshunt", "--platform", nullptr);
    ::_exit(127);
}

/// Returns whether the process has ended.
inline bool hasEnded(Node& node)
{
    if (!node.pid)
        return true;
    if (::waitpid(node.pid, nullptr, WNOHANG) != node.pid)
        return false;
    node.pid = 0;
    return true;
}

inline void signalNode(Node& node, int signal)
{
    if (node.pid)
        ::kill(node.pid, signal);
}

inline void endNode(Node& node)
{
    if (!node.pid)
        return;
    ::kill(node.pid, SIGCONT);
    ::kill(node.pid, SIGKILL);
    ::waitpid(node.pid, nullptr, 0);
    node.pid = 0;
}

/// Resident memory in kB, as /proc tells it.
inline int64_t residentKb(const Node& node)
{
    std::ifstream in("/proc/" + std::to_string(node.pid) + "/status");
    std::string line;
    while (std::getline(in, line)) {
        if (line.starts_with("VmRSS:"))
            return std::atoll(line.c_str() + 6);
    }
    return 0;
}

/// A small deployment: `fronts` entry nodes and `cores` voters in three zones, on loopback addresses of a network of its own, with the bounds of
/// the small sites.
class Fleet {
public:
    Fleet(int fronts, int cores)
    {
        std::random_device device;
        char folder[] = "/tmp/siskinshunt-review-XXXXXX";
        m_folder = ::mkdtemp(folder);
        do {
            m_network = "127." + std::to_string(64 + device() % 128) + "." + std::to_string(1 + device() % 250) + ".";
        } while (!isFree());
        for (int n = 0; n < cores; ++n)
            nodes.push_back({ .name = "core-" + std::to_string(n + 1), .ip = ip(100 + n), .zone = zone(n), .core = true, .settings = {}, .log = {} });
        for (int n = 0; n < fronts; ++n)
            nodes.push_back({ .name = "front-" + std::to_string(n + 1), .ip = ip(10 + n), .zone = zone(n), .core = false, .settings = {}, .log = {} });
        for (auto& node : nodes)
            writeSettings(node, true);
    }
    ~Fleet()
    {
        for (auto& node : nodes)
            endNode(node);
        if (!std::getenv("KEEP_FOLDER"))
            std::filesystem::remove_all(m_folder);
    }

    std::string ip(int last) const { return m_network + std::to_string(last); }
    static std::string zone(int n) { return "zone-" + std::string(1, static_cast<char>('a' + n % 3)); }
    std::string cloud() const { return ip(250) + ":8225"; }
    const std::string& folder() const { return m_folder; }

    void writeSettings(Node& node, bool bootstrap)
    {
        std::vector<std::string> seeds;
        for (const auto& it : nodes) {
            if (it.core && seeds.size() < 3)
                seeds.push_back(it.control());
        }
        Value listen = node.core ? table({ { "control", str(node.control()) }, { "directory", str(node.directory()) } }) : table({ { "front", str(node.front()) }, { "ready", str(node.ready()) } });
        Value ports { .text = {}, .list = { num("7600"), num("7615") }, .isList = true };
        std::vector<std::pair<std::string, Value>> fields {
            { "nodeName", str(node.name) }, { "region", str("region-1") }, { "zone", str(node.zone) }, { "ip", str(node.ip) }, { "internalPorts", ports }, { "seeds", strings(seeds) }, { "bootstrap", flag(bootstrap) },
            { "zones", table({ { "zone-a", str("region-1") }, { "zone-b", str("region-1") }, { "zone-c", str("region-1") } }) }, { "listen", listen },
            // Those of sites/ironveld-quotes.toml.
            { "bounds", table({ { "retryBudgetRatio", num("0.2") }, { "budgetExtra", num("56") }, { "budgetWindowS", num("10") }, { "exposureShare", num("0.1") }, { "exposureSlack", num("50") }, { "quotaSlack", num("110000") }, { "leaseMs", num("3000") }, { "usageWindowS", num("5") }, { "usageLateS", num("10") } }) },
            { "cloudApi", table({ { "address", str(cloud()) } }) }
        };
        if (node.core) {
            const std::string data = m_folder + "/" + node.name;
            std::filesystem::create_directories(data);
            fields.emplace_back("dataDir", str(data));
        }
        node.settings = m_folder + "/" + node.name + ".json";
        node.log = m_folder + "/" + node.name + ".log";
        std::ofstream(node.settings) << render(readFile("deploy/node.json.tmpl"), table(fields));
    }

    void start()
    {
        for (auto& node : nodes)
            startNode(node);
    }
    std::vector<std::string> control() const
    {
        std::vector<std::string> out;
        for (const auto& node : nodes) {
            if (node.core)
                out.push_back(node.control());
        }
        return out;
    }
    std::vector<Node*> fronts()
    {
        std::vector<Node*> out;
        for (auto& node : nodes) {
            if (!node.core)
                out.push_back(&node);
        }
        return out;
    }
    bool waitReady(int64_t forMs)
    {
        const int64_t until = nowMs() + forMs;
        for (Node* node : fronts()) {
            while (call(node->ready(), "GET", "/ready", {}, 300).status != 200) {
                if (nowMs() > until)
                    return false;
                sleepMs(50);
            }
        }
        return true;
    }

    std::vector<Node> nodes;

private:
    bool isFree() const
    {
        for (const int last : { 10, 100, 250 }) {
            for (const int port : { 7600, 8221, 8225, 8229 }) {
                const int fd = ::socket(AF_INET, SOCK_STREAM, 0);
                const auto at = addressOf(ip(last) + ":" + std::to_string(port));
                const bool ok = ::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at)) == 0;
                ::close(fd);
                if (!ok)
                    return false;
            }
        }
        return true;
    }

    std::string m_folder;
    std::string m_network;
};

/// The infrastructure's API: accepts all calls.
class Cloud {
public:
    explicit Cloud(const std::string& endpoint)
        : m_listener(endpoint, [](int fd) {
            std::string in;
            while (auto request = readMessage(fd, in, nowMs() + 60000, false))
                sendAll(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", nowMs() + 1000);
        })
    {
    }

private:
    Listener m_listener;
};

// --- Runners ---

/// What a runner does with a request; returns the bytes to send.
using Work = std::function<std::string(const Message&)>;

inline std::string answerText(int status, const std::string& requestId, const std::string& body, const std::string& extra = {})
{
    return "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Error") + "\r\nRequest-Id: " + requestId + "\r\nResponse-Signature: sig-" + requestId + "\r\n" + extra + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

/// A plain runner: answers 421 to requests for another one, reports itself about every 1.2 s, and drains as PROTOCOL.md describes it.
class Runner {
public:
    Runner(std::string id, std::string service, std::string version, std::string endpoint, std::string zone, int slots, std::vector<std::string> control, Work work)
        : m_id(std::move(id))
        , m_service(std::move(service))
        , m_version(std::move(version))
        , m_endpoint(endpoint)
        , m_zone(std::move(zone))
        , m_slots(slots)
        , m_control(std::move(control))
        , m_work(std::move(work))
        , m_born(wallMs())
        , m_listener(endpoint, [this](int fd) { serve(fd); })
        , m_beats([this] { beat(); })
    {
    }
    ~Runner() { stop(); }
    bool ok() const { return m_listener.ok(); }
    const std::string& version() const { return m_version; }

    /// Reports `draining`; returns whether that was acknowledged.
    bool drain()
    {
        m_draining = true;
        return report();
    }
    void leave() { controlCall(m_control, "DELETE", "/instances/" + m_id, {}, 3000); }
    void stop()
    {
        if (m_stopped.exchange(true))
            return;
        if (m_beats.joinable())
            m_beats.join();
        m_listener.stop();
    }

private:
    bool report()
    {
        const std::lock_guard lock(m_reporting);
        std::ostringstream body;
        body << "{\"service\":\"" << m_service << "\",\"address\":\"" << m_endpoint << "\",\"zone\":\"" << m_zone << "\",\"version\":\"" << m_version << "\",\"slots\":" << m_slots << ",\"state\":\"" << (m_draining ? "draining" : "ready") << "\",\"coldRemainingMs\":0,\"sequence\":" << ++m_sequence << ",\"born\":" << m_born << "}";
        return controlCall(m_control, "PUT", "/instances/" + m_id, body.str(), 3000).status == 200;
    }
    void beat()
    {
        while (!m_stopped) {
            report();
            for (int n = 0; n < 24 && !m_stopped; ++n)
                sleepMs(50);
        }
    }
    void serve(int fd)
    {
        std::string in;
        while (auto request = readMessage(fd, in, nowMs() + 30000, false)) {
            const std::string target = request->header("Target-Instance");
            const std::string id = request->header("Request-Id");
            const std::string answer = !target.empty() && target != m_id ? answerText(421, id, "", "Not-Executed: 1\r\n") : m_work(*request);
            if (answer.empty() || !sendAll(fd, answer, nowMs() + 30000))
                return;
        }
    }

    std::string m_id;
    std::string m_service;
    std::string m_version;
    std::string m_endpoint;
    std::string m_zone;
    int m_slots;
    std::vector<std::string> m_control;
    Work m_work;
    int64_t m_born;
    std::atomic<int64_t> m_sequence { 0 };
    std::atomic<bool> m_draining { false };
    std::atomic<bool> m_stopped { false };
    std::mutex m_reporting;
    Listener m_listener;
    std::thread m_beats;
};

}
