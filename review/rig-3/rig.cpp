#include "rig.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <set>
#include <sstream>
#include <sys/socket.h>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

namespace rig {

using Clock = std::chrono::steady_clock;

static const Clock::time_point startTime = Clock::now();
Record* record = nullptr;
Fleet* fleet = nullptr;
Runs runs;

double now() { return std::chrono::duration<double>(Clock::now() - startTime).count(); }
void sleepFor(double seconds)
{
    if (seconds > 0)
        std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
}
void sleepUntil(double at) { sleepFor(at - now()); }
int64_t unixMs() { return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count(); }

Record::Record(const std::string& path) : m_file(std::fopen(path.c_str(), "w")) { }
Record::~Record()
{
    if (m_file)
        std::fclose(m_file);
}
void Record::line(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    if (!m_file)
        return;
    std::fprintf(m_file, "%9.3f  %s\n", now(), text.c_str());
    std::fflush(m_file);
}

void note(const char* format, ...)
{
    char text[1024];
    va_list list;
    va_start(list, format);
    std::vsnprintf(text, sizeof(text), format, list);
    va_end(list);
    if (record)
        record->line(text);
}

void cannotRun(const std::string& why)
{
    note("the case cannot run: %s", why.c_str());
    std::fprintf(stderr, "the case cannot run: %s\n", why.c_str());
    if (fleet) {
        for (auto& machine : fleet->machines)
            if (machine.pid)
                ::kill(machine.pid, SIGKILL);
    }
    std::_Exit(2);
}

static bool sameName(const std::string& a, const std::string& b)
{
    return a.size() == b.size() && strcasecmp(a.c_str(), b.c_str()) == 0;
}

std::string headerOf(const Headers& headers, const std::string& name)
{
    for (const auto& [key, value] : headers)
        if (sameName(key, name))
            return value;
    return {};
}

static sockaddr_in socketAddress(const Endpoint& endpoint)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<uint16_t>(endpoint.port));
    inet_pton(AF_INET, endpoint.ip.c_str(), &out.sin_addr);
    return out;
}

static int newSocket()
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    return fd;
}

static bool waitFor(int fd, short events, double until)
{
    pollfd it { fd, events, 0 };
    const double left = until - now();
    return left > 0 && ::poll(&it, 1, static_cast<int>(left * 1000) + 1) > 0;
}

Connection::~Connection() { ::close(m_fd); }

std::unique_ptr<Connection> Connection::open(const Endpoint& to, double until)
{
    const int fd = newSocket();
    ::fcntl(fd, F_SETFL, O_NONBLOCK);
    auto connection = std::make_unique<Connection>(fd);
    const auto address = socketAddress(to);
    if (::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) && errno != EINPROGRESS)
        return {};
    if (!waitFor(fd, POLLOUT, until))
        return {};
    int error = 0;
    socklen_t size = sizeof(error);
    ::getsockopt(fd, SOL_SOCKET, SO_ERROR, &error, &size);
    return error ? nullptr : std::move(connection);
}

bool Connection::write(const std::string& bytes, double until)
{
    size_t sent = 0;
    while (sent < bytes.size()) {
        if (!waitFor(m_fd, POLLOUT, until))
            return false;
        const ssize_t n = ::send(m_fd, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL | MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        if (n <= 0)
            return false;
        sent += static_cast<size_t>(n);
    }
    return true;
}

int Connection::readSome(std::string& out, double until)
{
    while (true) {
        if (!waitFor(m_fd, POLLIN, until))
            return -1;
        char buffer[16384];
        const ssize_t n = ::recv(m_fd, buffer, sizeof(buffer), MSG_DONTWAIT);
        if (n < 0 && (errno == EAGAIN || errno == EINTR))
            continue;
        if (n > 0)
            out.append(buffer, static_cast<size_t>(n));
        return n < 0 ? -1 : static_cast<int>(n);
    }
}

void Connection::reset()
{
    const linger option { 1, 0 };
    ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

bool Connection::readHead(Message& out, double until)
{
    size_t end = 0;
    while ((end = m_in.find("\r\n\r\n")) == std::string::npos) {
        if (readSome(m_in, until) <= 0)
            return false;
    }
    std::istringstream lines(m_in.substr(0, end));
    m_in.erase(0, end + 4);
    std::string line;
    out = {};
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (out.start.empty()) {
            out.start = line;
            continue;
        }
        const auto colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        auto value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' ') == std::string::npos ? value.size() : value.find_first_not_of(' '));
        out.headers.emplace_back(line.substr(0, colon), value);
    }
    if (out.start.starts_with("HTTP/") && out.start.size() > 12)
        out.status = std::atoi(out.start.c_str() + 9);
    return true;
}

bool Connection::read(Message& out, double until, bool isResponse)
{
    if (!readHead(out, until))
        return false;
    const auto need = [&](size_t n) {
        while (m_in.size() < n)
            if (readSome(m_in, until) <= 0)
                return false;
        return true;
    };
    const std::string length = headerOf(out.headers, "Content-Length");
    if (sameName(headerOf(out.headers, "Transfer-Encoding"), "chunked")) {
        while (true) {
            size_t end = 0;
            while ((end = m_in.find("\r\n")) == std::string::npos)
                if (readSome(m_in, until) <= 0)
                    return false;
            const size_t size = std::strtoul(m_in.c_str(), nullptr, 16);
            m_in.erase(0, end + 2);
            if (!need(size + 2))
                return false;
            out.body += m_in.substr(0, size);
            m_in.erase(0, size + 2);
            if (!size)
                break;
        }
    } else if (!length.empty()) {
        const size_t size = std::strtoul(length.c_str(), nullptr, 10);
        if (!need(size))
            return false;
        out.body = m_in.substr(0, size);
        m_in.erase(0, size);
    } else if (isResponse && out.status != 204 && out.status != 304) {
        while (true) {
            const int n = readSome(m_in, until);
            if (n < 0)
                return false;
            if (!n)
                break;
        }
        out.body = std::exchange(m_in, {});
    }
    out.complete = true;
    return true;
}

std::string formatRequest(const std::string& method, const std::string& target, const Headers& headers, const std::string& body)
{
    std::string out = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    if (!body.empty() || method == "POST" || method == "PUT")
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

Message call(const Endpoint& to, const std::string& method, const std::string& target, const Headers& headers, const std::string& body, double timeoutS)
{
    Message out;
    const double until = now() + timeoutS;
    const auto connection = Connection::open(to, until);
    if (!connection) {
        out.problem = "no connection";
        return out;
    }
    Headers all = headers;
    if (headerOf(all, "Host").empty())
        all.emplace_back("Host", to.text());
    if (!connection->write(formatRequest(method, target, all, body), until) || !connection->read(out, until, true)) {
        out.problem = now() >= until ? "no complete answer in time" : "the connection ended without a complete answer";
        out.complete = false;
    }
    return out;
}

struct Server::State {
    int listener = -1;
    Handler handler;
    std::mutex mutex;
    std::set<Connection*> open;
    std::atomic<int> threads { 0 };
    std::atomic<bool> stopped { false };
};

Server::Server(const Endpoint& at, Handler handler) : m_state(std::make_shared<State>())
{
    m_state->handler = std::move(handler);
    m_state->listener = newSocket();
    const int on = 1;
    ::setsockopt(m_state->listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = socketAddress(at);
    if (::bind(m_state->listener, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) || ::listen(m_state->listener, 256))
        cannotRun("no listener at " + at.text() + ": " + std::strerror(errno));
    m_thread = std::thread([state = m_state] {
        while (!state->stopped) {
            pollfd it { state->listener, POLLIN, 0 };
            if (::poll(&it, 1, 50) <= 0)
                continue;
            const int fd = ::accept4(state->listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            const int noDelay = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &noDelay, sizeof(noDelay));
            ++state->threads;
            std::thread([state, fd] {
                {
                    Connection connection(fd);
                    {
                        const std::lock_guard lock(state->mutex);
                        state->open.insert(&connection);
                    }
                    Message request;
                    while (!state->stopped && connection.read(request, now() + 60, false) && !state->stopped && state->handler(request, connection)) { }
                    const std::lock_guard lock(state->mutex);
                    state->open.erase(&connection);
                }
                --state->threads;
            }).detach();
        }
    });
}

void Server::stop()
{
    if (m_state->stopped.exchange(true))
        return;
    m_thread.join();
    ::close(m_state->listener);
    const std::lock_guard lock(m_state->mutex);
    for (Connection* connection : m_state->open) {
        connection->reset();
        ::shutdown(connection->fd(), SHUT_RDWR);
    }
}

Server::~Server()
{
    stop();
    while (m_state->threads)
        sleepFor(0.01);
}

std::string formatAnswer(int status, const Headers& headers, const std::string& body)
{
    std::string out = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    return out + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// --- Settings

namespace {

    struct Value {
        std::optional<std::string> text; ///< A number, a string or a truth value.
        bool quoted = false;
        std::vector<Value> list;
        std::vector<std::pair<std::string, Value>> table;
        bool isSet() const { return (text && *text != "false") || !list.empty() || !table.empty(); }
    };

    Value textValue(std::string text) { return { .text = std::move(text), .quoted = true, .list = {}, .table = {} }; }
    Value plainValue(std::string text) { return { .text = std::move(text), .quoted = false, .list = {}, .table = {} }; }

}

static const Value* findValue(const Value& in, const std::string& path)
{
    const Value* at = &in;
    std::istringstream names(path);
    std::string name;
    while (std::getline(names, name, '.')) {
        if (!at->list.empty()) {
            const auto n = static_cast<size_t>(std::atoi(name.c_str()));
            if (n >= at->list.size())
                return nullptr;
            at = &at->list[n];
            continue;
        }
        const auto it = std::find_if(at->table.begin(), at->table.end(), [&](const auto& entry) { return entry.first == name; });
        if (it == at->table.end())
            return nullptr;
        at = &it->second;
    }
    return at;
}

static std::string toJson(const Value& value)
{
    if (value.text)
        return value.quoted ? "\"" + *value.text + "\"" : *value.text;
    std::string out;
    for (const auto& it : value.list)
        out += (out.empty() ? "" : ",") + toJson(it);
    if (!value.list.empty())
        return "[" + out + "]";
    for (const auto& [key, it] : value.table)
        out += (out.empty() ? "" : ",") + ("\"" + key + "\":" + toJson(it));
    return "{" + out + "}";
}

// The part of the template language that DEPLOY.md describes and the project's template uses.
static std::string fill(const std::string& text, const Value& root, const Value* entry, bool last)
{
    std::string out;
    size_t at = 0;
    while (true) {
        const size_t begin = text.find("{{", at);
        if (begin == std::string::npos)
            return out + text.substr(at);
        out += text.substr(at, begin - at);
        const size_t end = text.find("}}", begin);
        std::string name = text.substr(begin + 2, end - begin - 2);
        at = end + 2;
        if (name[0] == '#' || name[0] == '^') {
            const std::string path = name.substr(1);
            const std::string closing = "{{/" + path + "}}";
            const size_t close = text.find(closing, at);
            const std::string inner = text.substr(at, close - at);
            at = close + closing.size();
            const Value* value = findValue(root, path);
            const bool set = value && value->isSet();
            if (name[0] == '^') {
                if (!set)
                    out += fill(inner, root, entry, last);
            } else if (set && !value->list.empty()) {
                for (size_t n = 0; n < value->list.size(); ++n)
                    out += fill(inner, root, &value->list[n], n + 1 == value->list.size());
            } else if (set)
                out += fill(inner, root, value, true);
            continue;
        }
        if (name == ",") {
            out += last ? "" : ",";
            continue;
        }
        const bool json = name.ends_with("|json");
        if (json)
            name.resize(name.size() - 5);
        const Value* value = name == "." ? entry : findValue(root, name);
        if (json)
            out += value ? toJson(*value) : "null";
        else if (value && value->text)
            out += *value->text;
    }
}

static const std::vector<std::pair<std::string, std::string>> bounds {
    { "seedLagS", "3" }, { "addrReuseS", "2" }, { "contactMs", "3000" }, { "ackMs", "4000" }, { "catchUpS", "4" }, { "drainMs", "2000" }, { "graceS", "8" },
    { "lostSlackMs", "200" }, { "configApplyMs", "2000" }, { "rollbackSlackMs", "250" }, { "maxSkewMs", "5000" }, { "revokeFailClosed", "false" },
    { "revokeMs", "5000" }, { "retryBudgetRatio", "0.2" }, { "budgetWindowS", "10" }, { "budgetExtra", "56" }, { "quotaWindowS", "8" },
    { "quotaOvershoot", "0.1" }, { "quotaSlack", "110000" }, { "requireFencing", "false" }, { "leaseMs", "3000" }, { "thawMs", "300" },
    { "usageWindowS", "5" }, { "usageTolerance", "0.05" }, { "usageLateS", "10" }, { "exposureShare", "0.1" }, { "exposureSlack", "50" },
    { "rollbackMs", "5000" }, { "recoveryS", "12" }, { "passMs", "120" }, { "reuseWindowS", "7.7" }, { "ttl_max_s", "5" }
};

static const std::vector<std::string> zones { "jhb-north", "jhb-south", "pta-east" };

static bool isFree(const Endpoint& at)
{
    const int fd = newSocket();
    const int on = 1;
    ::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
    const auto address = socketAddress(at);
    const bool free = ::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
    ::close(fd);
    return free;
}

std::string Fleet::address(int zone, int host) const
{
    return "127." + std::to_string(m_second) + "." + std::to_string(zone + 1) + "." + std::to_string(host);
}

Fleet::Fleet(const std::string& into) : folder(into), m_second(0)
{
    std::random_device device;
    for (int n = 0; n < 50 && !m_second; ++n) {
        m_second = 20 + static_cast<int>(device() % 200);
        for (int zone = 0; zone < 3; ++zone)
            for (const int port : { ports.control, ports.directory, ports.front, ports.ready, ports.internalFirst, ports.internalFirst + 1, ports.internalLast, ports.cloud, ports.runner })
                if (!isFree({ address(zone, 14), port }) || !isFree({ address(zone, 17), port })) {
                    m_second = 0;
                    zone = 3;
                    break;
                }
    }
    if (!m_second)
        cannotRun("no free addresses");
    const auto add = [&](bool core, int zone, int count) {
        for (int n = 1; n <= count; ++n)
            machines.push_back({ .name = std::string(core ? "core-" : "front-") + zones[static_cast<size_t>(zone)] + "-" + std::to_string(n), .zone = zones[static_cast<size_t>(zone)], .ip = address(zone, (core ? 16 : 10) + n), .core = core });
    };
    add(true, 0, 2);
    add(true, 1, 2);
    add(true, 2, 1);
    add(false, 0, 3);
    add(false, 1, 3);
    add(false, 2, 2);
    fleet = this;
}

Fleet::~Fleet()
{
    for (auto& machine : machines)
        if (machine.pid)
            kill(machine, SIGKILL);
    fleet = nullptr;
}

std::vector<Machine*> Fleet::core()
{
    std::vector<Machine*> out;
    for (auto& it : machines)
        if (it.core)
            out.push_back(&it);
    return out;
}

std::vector<Machine*> Fleet::front()
{
    std::vector<Machine*> out;
    for (auto& it : machines)
        if (!it.core)
            out.push_back(&it);
    return out;
}

static std::string readFile(const std::string& path)
{
    std::ifstream in(path);
    std::stringstream out;
    out << in.rdbuf();
    return out.str();
}

void Fleet::start(Machine& machine, bool first)
{
    Value root;
    const auto set = [&](const char* name, Value value) { root.table.emplace_back(name, std::move(value)); };
    set("nodeName", textValue(machine.name));
    set("ip", textValue(machine.ip));
    set("zone", textValue(machine.zone));
    set("region", textValue("za-gauteng"));
    Value ranges, seeds, places, listen, limits, cloud;
    ranges.list = { plainValue(std::to_string(ports.internalFirst)), plainValue(std::to_string(ports.internalLast)) };
    for (const auto& [zone, host] : std::vector<std::pair<int, int>> { { 0, 17 }, { 1, 17 }, { 2, 17 } })
        seeds.list.push_back(textValue(Endpoint { address(zone, host), ports.control }.text()));
    for (const auto& zone : zones)
        places.table.emplace_back(zone, textValue("za-gauteng"));
    if (machine.core) {
        listen.table.emplace_back("control", textValue(machine.ip + ":" + std::to_string(ports.control)));
        listen.table.emplace_back("directory", textValue(machine.ip + ":" + std::to_string(ports.directory)));
        const std::string data = folder + "/data-" + machine.name;
        ::mkdir(data.c_str(), 0700);
        set("dataDir", textValue(data));
    } else {
        listen.table.emplace_back("front", textValue(machine.ip + ":" + std::to_string(ports.front)));
        listen.table.emplace_back("ready", textValue(machine.ip + ":" + std::to_string(ports.ready)));
    }
    for (const auto& [name, value] : bounds)
        limits.table.emplace_back(name, plainValue(value));
    cloud.table.emplace_back("address", textValue(address(0, 200) + ":" + std::to_string(ports.cloud)));
    set("internalPorts", std::move(ranges));
    set("seeds", std::move(seeds));
    set("zones", std::move(places));
    set("listen", std::move(listen));
    set("bounds", std::move(limits));
    set("cloudApi", std::move(cloud));
    set("bootstrap", plainValue(first ? "true" : "false"));
    const std::string settings = folder + "/" + machine.name + ".json";
    std::ofstream(settings) << fill(readFile("deploy/node.json.tmpl"), root, nullptr, true);
    const std::string log = folder + "/" + machine.name + ".log";
    const pid_t pid = ::fork();
    if (!pid) {
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(out, 1);
        ::dup2(out, 2);
        const std::string config = "SISKINSHUNT_CONFIG=" + settings;
        const std::string path = "PATH=" + std::string(std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
        const char* const environment[] = { config.c_str(), path.c_str(), nullptr };
        const char* const arguments[] = { "target/bin/siskinshunt", "--platform", nullptr };
        ::execve(arguments[0], const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
        std::_Exit(127);
    }
    machine.pid = pid;
    note("machine %s starts at %s, process %d", machine.name.c_str(), machine.ip.c_str(), static_cast<int>(pid));
}

void Fleet::kill(Machine& machine, int signal)
{
    if (!machine.pid)
        return;
    note("machine %s gets signal %d", machine.name.c_str(), signal);
    ::kill(machine.pid, signal);
    if (signal != SIGKILL)
        return;
    ::waitpid(machine.pid, nullptr, 0);
    machine.pid = 0;
}

void Fleet::startAll()
{
    for (auto& machine : machines)
        start(machine, true);
}

// --- The platform

Runner::Runner(RunnerOptions given) : options(std::move(given)), m_born(unixMs()), m_node(std::hash<std::string> {}(options.id))
{
    m_server = std::make_unique<Server>(options.address, [this](const Message& request, Connection& connection) { return serve(request, connection); });
    note("runner %s of %s %s starts at %s", options.id.c_str(), options.service.c_str(), options.version.c_str(), options.address.text().c_str());
    m_beats = std::thread([this] { beats(); });
}

Runner::~Runner()
{
    stop();
    if (m_beats.joinable())
        m_beats.join();
    if (m_leave.joinable())
        m_leave.join();
}

bool Runner::beat(const char* state)
{
    const std::lock_guard lock(m_beatMutex);
    const std::string body = "{\"service\":\"" + options.service + "\",\"address\":\"" + options.address.text() + "\",\"zone\":\"" + options.zone + "\",\"version\":\"" + options.version
        + "\",\"slots\":" + std::to_string(options.slots) + ",\"state\":\"" + state + "\",\"coldRemainingMs\":0,\"born\":" + std::to_string(m_born) + ",\"sequence\":" + std::to_string(++m_sequence) + "}";
    const auto core = fleet->core();
    for (size_t n = 0; n < core.size() && !m_stopped; ++n) {
        const auto answer = call(fleet->control(*core[m_node % core.size()]), "PUT", "/instances/" + options.id, { { "Content-Type", "application/json" } }, body, 1);
        if (answer.complete && answer.status / 100 == 2)
            return true;
        ++m_node;
    }
    return false;
}

void Runner::beats()
{
    while (!m_stopped) {
        beat(m_draining ? "draining" : "ready");
        for (int n = 0; n < 24 && !m_stopped; ++n)
            sleepFor(0.05);
    }
}

bool Runner::serve(const Message& request, Connection& connection)
{
    std::istringstream line(request.start);
    std::string method, target;
    line >> method >> target;
    const std::string id = headerOf(request.headers, "Request-Id");
    const auto answer = [&](int status, Headers headers, const std::string& body) { return connection.write(formatAnswer(status, headers, body), now() + 5); };
    if (target == "/health")
        return answer(m_draining ? 503 : 200, { { "Instance-Id", options.id } }, "");
    if (id.empty())
        return answer(400, { { "Not-Executed", "1" } }, "");
    const std::string named = headerOf(request.headers, "Target-Instance");
    if (!named.empty() && named != options.id)
        return answer(421, { { "Request-Id", id } }, "");
    if (m_busy.fetch_add(1) >= options.slots) {
        --m_busy;
        return answer(503, { { "Request-Id", id }, { "Not-Executed", "1" } }, "");
    }
    const double at = now();
    const int status = options.status ? options.status(request, at) : 200;
    {
        const std::lock_guard lock(runs.mutex);
        runs.list.push_back({ .at = at, .id = id, .runner = options.id, .version = options.version, .service = options.service, .path = target, .tenant = headerOf(request.headers, "Tenant"), .status = status });
    }
    note("run %s at %s %s: will answer %d", id.c_str(), options.id.c_str(), options.version.c_str(), status);
    sleepFor(options.workS);
    --m_busy;
    if (m_stopped)
        return false;
    return answer(status, { { "Request-Id", id }, { "Response-Signature", "sig." + options.id + "." + id }, { "Content-Type", "application/json" } }, "{\"id\":\"" + id + "\"}");
}

void Runner::drain(double seconds)
{
    if (m_draining.exchange(true) || m_stopped)
        return;
    m_leave = std::thread([this, seconds] {
        note("runner %s drains", options.id.c_str());
        beat("draining");
        for (double end = now() + seconds; now() < end && !m_stopped;)
            sleepFor(0.05);
        const auto core = fleet->core();
        for (size_t n = 0; n < core.size() && !m_stopped; ++n) {
            const auto it = call(fleet->control(*core[(m_node + n) % core.size()]), "DELETE", "/instances/" + options.id, {}, "", 1);
            if (it.complete && it.status / 100 == 2)
                break;
        }
        stop();
    });
}

void Runner::stop()
{
    if (m_stopped.exchange(true))
        return;
    note("runner %s stops", options.id.c_str());
    m_server->stop();
}

Cloud::Cloud(const Endpoint& at)
{
    m_server = std::make_unique<Server>(at, [](const Message& request, Connection& connection) {
        note("duty: %s holder %s fence %s: %.200s", request.start.c_str(), headerOf(request.headers, "Lease-Holder").c_str(), headerOf(request.headers, "Fencing-Token").c_str(), request.body.c_str());
        return connection.write(formatAnswer(200, {}, "{}"), now() + 2);
    });
}

static std::optional<Endpoint> locationOf(const Message& answer, std::string& path)
{
    const std::string location = headerOf(answer.headers, "Location");
    if (!location.starts_with("http://"))
        return std::nullopt;
    const auto slash = location.find('/', 7);
    const std::string host = location.substr(7, slash - 7);
    const auto colon = host.find(':');
    if (slash == std::string::npos || colon == std::string::npos)
        return std::nullopt;
    path = location.substr(slash);
    return Endpoint { host.substr(0, colon), std::atoi(host.c_str() + colon + 1) };
}

static Message callAndFollow(Endpoint to, const std::string& method, std::string path, const std::string& body)
{
    Message answer;
    for (int n = 0; n < 3; ++n) {
        answer = call(to, method, path, { { "Content-Type", "application/json" } }, body, 1);
        if (!answer.complete || answer.status != 307)
            return answer;
        const auto next = locationOf(answer, path);
        if (!next)
            return answer;
        to = *next;
    }
    return answer;
}

static Message callNodes(const std::string& method, const std::string& path, const std::string& body, double timeoutS)
{
    const double end = now() + timeoutS;
    static std::atomic<size_t> first { 0 };
    double pause = 0.05;
    Message answer;
    for (size_t n = first++; now() < end; ++n) {
        const auto core = fleet->core();
        answer = callAndFollow(fleet->control(*core[n % core.size()]), method, path, body);
        const bool again = !answer.complete || answer.status >= 500 || answer.status == 408 || answer.status == 429 || answer.status == 307;
        if (!again)
            return answer;
        sleepFor(pause);
        pause = std::min(pause * 2, 0.5);
    }
    return answer;
}

Message order(const std::string& method, const std::string& path, const std::string& body, double timeoutS)
{
    auto answer = callNodes(method, path, body, timeoutS);
    note("operator: %s %s: %d %.200s", method.c_str(), path.c_str(), answer.complete ? answer.status : 0, answer.body.c_str());
    return answer;
}

Message readBack(const std::string& path, double timeoutS) { return callNodes("GET", path, "", timeoutS); }

// --- Clients

std::string newRequestId()
{
    static std::mutex mutex;
    static std::mt19937_64 random { std::random_device {}() };
    const std::lock_guard lock(mutex);
    char text[17];
    std::snprintf(text, sizeof(text), "%016llx", static_cast<unsigned long long>(random()));
    return text;
}

Load::Load(std::vector<Kind> kinds, uint64_t seed)
{
    resolve();
    m_threads.emplace_back([this] {
        while (!m_stopped) {
            for (int n = 0; n < 20 && !m_stopped; ++n)
                sleepFor(0.1);
            resolve();
        }
    });
    for (const auto& kind : kinds)
        m_threads.emplace_back([this, kind, each = seed++] { run(kind, each); });
}

Load::~Load() { stop(); }

void Load::stop()
{
    if (m_stopped.exchange(true))
        return;
    for (auto& it : m_threads)
        it.join();
    while (m_open)
        sleepFor(0.02);
}

void Load::resolve()
{
    const auto core = fleet->core();
    for (size_t n = 0; n < 3; ++n) {
        const auto answer = call({ core[(n * 2) % core.size()]->ip, fleet->ports.directory }, "GET", "/resolve?name=wuny96.example&region=za-gauteng&zone=none", {}, "", 1);
        if (!answer.complete || answer.status != 200)
            continue;
        std::vector<std::string> found;
        for (size_t at = answer.body.find("127."); at != std::string::npos; at = answer.body.find("127.", at + 1))
            found.push_back(answer.body.substr(at, answer.body.find('"', at) - at));
        const std::lock_guard lock(m_addressMutex);
        if (!found.empty())
            m_addresses = found;
        return;
    }
}

void Load::run(Kind kind, uint64_t seed)
{
    std::mt19937_64 random(seed);
    double next = now();
    while (!m_stopped) {
        next += std::exponential_distribution<double>(kind.perS)(random);
        sleepUntil(next);
        std::string address;
        {
            const std::lock_guard lock(m_addressMutex);
            if (!m_addresses.empty())
                address = m_addresses[random() % m_addresses.size()];
        }
        if (address.empty() || m_stopped)
            continue;
        ++m_open;
        std::thread([this, kind, address] {
            Attempt attempt { .sentAt = now(), .id = newRequestId(), .node = address, .path = kind.path };
            const auto colon = address.find(':');
            Headers headers { { "Host", kind.host }, { "Request-Id", attempt.id }, { "Deadline-Ms", std::to_string(static_cast<int>(kind.deadlineS * 1000)) }, { "Connection", "close" } };
            if (!kind.key.empty())
                headers.emplace_back("Authorization", "Bearer " + kind.key);
            const auto answer = call({ address.substr(0, colon), std::atoi(address.c_str() + colon + 1) }, kind.method, kind.path, headers, kind.body, kind.deadlineS);
            attempt.endedAt = now();
            attempt.status = answer.complete ? answer.status : 0;
            attempt.body = answer.body;
            attempt.problem = answer.problem;
            attempt.signedAnswer = !headerOf(answer.headers, "Response-Signature").empty();
            note("client %s %s to %s: %d%s %s", kind.method.c_str(), attempt.id.c_str(), address.c_str(), attempt.status, attempt.signedAnswer ? " signed" : "", attempt.problem.c_str());
            {
                const std::lock_guard lock(mutex);
                attempts.push_back(std::move(attempt));
            }
            --m_open;
        }).detach();
    }
}

}
