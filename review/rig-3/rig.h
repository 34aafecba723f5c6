#pragma once

// A small deployment of the system under test with stand-ins for its platform: runners, clients, the operator and the infrastructure's API.
// The system's own processes are started with the command of the deploy file and with settings made from the project's template. All addresses
// are loopback addresses, one a machine. Only the C++ library and POSIX are used.

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>
#include <vector>

namespace rig {

/// Seconds since the start of the rig.
double now();
void sleepFor(double seconds);
void sleepUntil(double at);
int64_t unixMs();

/// Writes record.txt.
class Record {
public:
    explicit Record(const std::string& path);
    ~Record();
    void line(const std::string& text);

private:
    std::mutex m_mutex;
    FILE* m_file;
};

extern Record* record;
void note(const char* format, ...) __attribute__((format(printf, 1, 2)));

/// The case could not run: ends all processes and exits with 2.
[[noreturn]] void cannotRun(const std::string& why);

struct Endpoint {
    std::string ip;
    int port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

using Headers = std::vector<std::pair<std::string, std::string>>;
std::string headerOf(const Headers&, const std::string& name);

struct Message {
    std::string start; ///< Request line or status line.
    Headers headers;
    std::string body;
    int status = 0;
    bool complete = false;
    std::string problem; ///< Of a call without a complete answer.
};

/// A connection with blocking reads up to a point in time.
class Connection {
public:
    explicit Connection(int fd) : m_fd(fd) { }
    ~Connection();
    Connection(const Connection&) = delete;
    static std::unique_ptr<Connection> open(const Endpoint&, double until);
    bool write(const std::string& bytes, double until);
    /// Reads a whole message; false at the end of the connection, an error, or the time.
    bool read(Message&, double until, bool isResponse);
    /// Reads the head only; the rest is left to readSome().
    bool readHead(Message&, double until);
    /// Appends what has arrived; returns the number of bytes, 0 at an orderly end, -1 at an error or the time.
    int readSome(std::string& out, double until);
    std::string& buffer() { return m_in; }
    void reset();
    int fd() const { return m_fd; }

private:
    int m_fd;
    std::string m_in;
};

std::string formatRequest(const std::string& method, const std::string& target, const Headers&, const std::string& body);
/// One request on a new connection.
Message call(const Endpoint&, const std::string& method, const std::string& target, const Headers&, const std::string& body, double timeoutS);

/// Serves each connection on a thread of its own. The handler answers on the connection; false ends it.
class Server {
public:
    using Handler = std::function<bool(const Message& request, Connection&)>;
    Server(const Endpoint&, Handler);
    ~Server();
    void stop(); ///< Closes the listener and resets all connections.

private:
    struct State;
    std::shared_ptr<State> m_state;
    std::thread m_thread;
};

std::string formatAnswer(int status, const Headers&, const std::string& body);

struct Machine {
    std::string name;
    std::string zone;
    std::string ip;
    bool core = false;
    pid_t pid = 0;
};

/// Ports are the same on all machines.
struct Ports {
    int control = 8229, directory = 8220, front = 8221, ready = 8224, internalFirst = 7600, internalLast = 7615, cloud = 8225, runner = 8308;
};

/// The deployment that the pages call ironveld-quotes: three zones, 8 front and 5 core machines, with its bounds.
class Fleet {
public:
    explicit Fleet(const std::string& folder);
    ~Fleet();
    void start(Machine&, bool first);
    void kill(Machine&, int signal); ///< Waits for the end after SIGKILL.
    void startAll();
    std::vector<Machine*> core();
    std::vector<Machine*> front();
    Endpoint control(const Machine& m) const { return { m.ip, ports.control }; }
    std::string address(int zone, int host) const; ///< A free address for a stand-in.

    std::vector<Machine> machines;
    Ports ports;
    std::string folder;
    std::map<std::string, std::string> extraBounds;

private:
    int m_second; ///< Second number of all addresses.
};

extern Fleet* fleet;

/// What a runner does with a request after it began to run it.
struct RunnerOptions {
    std::string id, service, zone, version;
    Endpoint address;
    int slots = 6;
    double workS = 0.06;
    /// Returns the status of the answer to this request; 200 unless set.
    std::function<int(const Message& request, double at)> status;
};

/// A plain runner: registers, beats, serves, and leaves as PROTOCOL.md says.
class Runner {
public:
    explicit Runner(RunnerOptions);
    ~Runner();
    void drain(double seconds); ///< Reports draining, serves on that long, deregisters and stops. Returns at once.
    void stop(); ///< Ends at once.
    const RunnerOptions options;

private:
    bool serve(const Message&, Connection&);
    bool beat(const char* state);
    void beats();
    std::atomic<bool> m_stopped { false };
    std::atomic<bool> m_draining { false };
    std::atomic<int> m_busy { 0 };
    int64_t m_born;
    std::atomic<uint64_t> m_sequence { 0 };
    size_t m_node = 0;
    std::mutex m_beatMutex;
    std::unique_ptr<Server> m_server;
    std::thread m_beats;
    std::thread m_leave;
};

/// One request that reached a runner and was run.
struct Run {
    double at = 0;
    std::string id, runner, version, service, path, tenant;
    int status = 0;
};

struct Runs {
    std::mutex mutex;
    std::vector<Run> list;
};
extern Runs runs;

/// Sends an order to the nodes that serve control in turn until one acknowledges it. Returns the status; 0 if none has answered in time.
Message order(const std::string& method, const std::string& path, const std::string& body, double timeoutS);
/// One read of the operator: follows redirects twice, and goes on to other nodes.
Message readBack(const std::string& path, double timeoutS);

/// Accepts all calls of the duties and records them.
class Cloud {
public:
    explicit Cloud(const Endpoint&);

private:
    std::unique_ptr<Server> m_server;
};

/// What a client got for one attempt.
struct Attempt {
    double sentAt = 0, endedAt = 0;
    std::string id, node, path;
    int status = 0; ///< 0: no complete answer.
    bool signedAnswer = false;
    std::string body, problem;
};

/// Clients with the given rate; each request on a new connection to one of the addresses that the directory names.
class Load {
public:
    struct Kind {
        std::string method, path, host, key;
        double perS = 0;
        double deadlineS = 3;
        std::string body;
    };
    Load(std::vector<Kind>, uint64_t seed);
    ~Load();
    void stop(); ///< Waits for the requests in progress.
    std::mutex mutex;
    std::vector<Attempt> attempts;

private:
    void run(Kind, uint64_t seed);
    void resolve();
    std::atomic<bool> m_stopped { false };
    std::atomic<int> m_open { 0 };
    std::mutex m_addressMutex;
    std::vector<std::string> m_addresses;
    std::vector<std::thread> m_threads;
};

std::string newRequestId();

}
