// A small deployment of real processes on loopback addresses, started with the commands and the template of the deploy file.
#pragma once

#include "Net.h"

#include <boost/json.hpp>
#include <csignal>
#include <cstdarg>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <set>
#include <sstream>
#include <sys/prctl.h>
#include <sys/wait.h>

namespace rig {

namespace json = boost::json;

// record.txt of the case: what was sent, answered and run, with the time since the start.
class Record {
public:
    explicit Record(const std::string& path)
        : m_out(path)
        , m_start(steadyMs())
    {
    }
    void line(const std::string& text)
    {
        const std::lock_guard lock(m_mutex);
        char time[32];
        std::snprintf(time, sizeof(time), "%8.3f ", static_cast<double>(steadyMs() - m_start) / 1000);
        m_out << time << text << std::endl;
    }
    double seconds() const { return static_cast<double>(steadyMs() - m_start) / 1000; }

private:
    std::ofstream m_out;
    int64_t m_start;
    std::mutex m_mutex;
};

inline std::string readFile(const std::string& path)
{
    std::ifstream in(path);
    std::ostringstream out;
    out << in.rdbuf();
    return out.str();
}

// Fills in the settings template as DEPLOY.md describes: values, sections, inverted sections.
class Template {
public:
    static std::string render(const std::string& text, const json::value& root)
    {
        std::vector<Frame> frames { { &root, "", true } };
        return renderPart(text, frames);
    }

private:
    struct Frame {
        const json::value* value;
        std::string key;
        bool isLast;
    };

    static const json::value* step(const json::value* value, const std::string& name)
    {
        if (value && value->is_object())
            return value->as_object().if_contains(name);
        if (value && value->is_array() && !name.empty() && std::isdigit(static_cast<unsigned char>(name[0]))) {
            const size_t n = std::stoul(name);
            return n < value->as_array().size() ? &value->as_array()[n] : nullptr;
        }
        return nullptr;
    }

    static const json::value* find(const std::vector<Frame>& frames, const std::string& name)
    {
        if (name == ".")
            return frames.back().value;
        for (auto it = frames.rbegin(); it != frames.rend(); ++it) {
            const json::value* value = it->value;
            std::istringstream parts(name);
            for (std::string part; value && std::getline(parts, part, '.');)
                value = step(value, part);
            if (value)
                return value;
        }
        return nullptr;
    }

    static std::string plain(const json::value* value)
    {
        if (!value || value->is_null())
            return {};
        if (value->is_string())
            return std::string(value->as_string());
        if (value->is_array()) {
            std::string out;
            for (const auto& it : value->as_array())
                out += (out.empty() ? "" : ",") + plain(&it);
            return out;
        }
        return json::serialize(*value);
    }

    static bool isPresent(const json::value* value)
    {
        return value && !value->is_null() && !(value->is_bool() && !value->as_bool()) && !(value->is_string() && value->as_string().empty()) && !(value->is_array() && value->as_array().empty());
    }

    static std::string renderPart(const std::string& text, std::vector<Frame>& frames)
    {
        std::string out;
        size_t at = 0;
        while (true) {
            const auto open = text.find("{{", at);
            if (open == std::string::npos)
                return out + text.substr(at);
            out += text.substr(at, open - at);
            const auto close = text.find("}}", open);
            std::string name = text.substr(open + 2, close - open - 2);
            at = close + 2;
            if (name == ",") {
                out += frames.back().isLast ? "" : ",";
            } else if (name == "@") {
                out += frames.back().key;
            } else if (name[0] == '#' || name[0] == '^') {
                const bool inverted = name[0] == '^';
                name.erase(0, 1);
                const std::string endTag = "{{/" + name + "}}";
                const auto end = text.find(endTag, at);
                const std::string part = text.substr(at, end - at);
                at = end + endTag.size();
                const json::value* value = find(frames, name);
                if (inverted) {
                    if (!isPresent(value))
                        out += renderPart(part, frames);
                } else if (isPresent(value)) {
                    renderSection(part, value, frames, out);
                }
            } else if (name.ends_with("|json")) {
                const json::value* value = find(frames, name.substr(0, name.size() - 5));
                out += value ? json::serialize(*value) : "null";
            } else {
                out += plain(find(frames, name));
            }
        }
    }

    static void renderSection(const std::string& part, const json::value* value, std::vector<Frame>& frames, std::string& out)
    {
        const auto once = [&](const json::value* entry, std::string key, bool last) {
            frames.push_back({ entry, std::move(key), last });
            out += renderPart(part, frames);
            frames.pop_back();
        };
        if (value->is_array()) {
            const auto& list = value->as_array();
            for (size_t n = 0; n < list.size(); ++n)
                once(&list[n], std::to_string(n), n + 1 == list.size());
        } else if (value->is_object()) {
            size_t n = 0;
            for (const auto& it : value->as_object())
                once(&it.value(), std::string(it.key()), ++n == value->as_object().size());
        } else {
            once(value, "", true);
        }
    }
};

// A role of deploy/system.toml, as far as a small deployment needs it.
struct Role {
    std::string name;
    std::string on;
    std::vector<std::string> run;
    std::string templatePath;
};

inline std::vector<Role> readRoles(const std::string& path)
{
    std::vector<Role> out;
    std::istringstream in(readFile(path));
    const auto quoted = [](const std::string& line) {
        const auto first = line.find('"');
        return line.substr(first + 1, line.rfind('"') - first - 1);
    };
    for (std::string line; std::getline(in, line);) {
        if (line.starts_with("[roles."))
            out.push_back({ line.substr(7, line.find(']') - 7), {}, {}, {} });
        else if (!out.empty() && line.starts_with("run ")) {
            std::istringstream words(quoted(line));
            for (std::string word; words >> word;)
                out.back().run.push_back(word);
        } else if (!out.empty() && line.starts_with("on "))
            out.back().on = quoted(line);
        else if (!out.empty() && line.starts_with("template "))
            out.back().templatePath = quoted(line);
    }
    return out;
}

struct Ports {
    int internalFirst, internalLast, front, ready, control, directory, cloud, runner;
};

// One machine: its settings and its process. The platform restarts a process that has ended.
struct Machine {
    std::string name;
    std::string machineClass;
    std::string zone;
    std::string ip;
    std::string settingsPath;
    std::string logPath;
    std::string dataDir;
    const Role* role = nullptr;
    pid_t pid = 0;
    bool bootstrap = true;
    bool held = false; ///< The platform does not restart it now.
    bool killedByTest = false;
    int ownEnds = 0; ///< Times at which the process has ended by itself.
    int64_t restartAt = 0;
};

class Deployment {
public:
    static constexpr int64_t restartDelayMs = 500;

    Deployment(const std::string& root, const std::string& folder, Record& record, const std::vector<std::pair<std::string, int>>& fronts, const std::vector<std::pair<std::string, int>>& cores)
        : m_root(root)
        , m_folder(folder)
        , m_record(record)
        , m_roles(readRoles(root + "/deploy/system.toml"))
    {
        std::random_device device;
        for (int tries = 0; tries < 50; ++tries) {
            m_net = 20 + static_cast<int>(device() % 200);
            const int base = 12000 + static_cast<int>(device() % 400) * 40;
            m_ports = { base, base + 15, base + 21, base + 24, base + 29, base + 30, base + 25, base + 8 };
            if (isFree())
                break;
        }
        int number = 0;
        for (const auto& [list, machineClass] : { std::pair(&cores, "core"), std::pair(&fronts, "front") }) {
            std::map<std::string, int> perZone;
            for (const auto& [zone, count] : *list) {
                for (int n = 0; n < count; ++n) {
                    Machine machine;
                    machine.name = std::string(machineClass) + "-" + zone + "-" + std::to_string(++perZone[zone]);
                    machine.machineClass = machineClass;
                    machine.zone = zone;
                    machine.ip = address(1, ++number);
                    for (const auto& role : m_roles) {
                        if (role.on == machineClass)
                            machine.role = &role;
                    }
                    if (machineClass == std::string("core"))
                        machine.dataDir = m_folder + "/data-" + machine.name;
                    machine.settingsPath = m_folder + "/" + machine.name + ".json";
                    machine.logPath = m_folder + "/" + machine.name + ".log";
                    m_machines.push_back(std::move(machine));
                    m_zones.insert(zone);
                }
            }
        }
        for (const auto& machine : m_machines) {
            if (machine.machineClass == "core" && m_seeds.size() < 3)
                m_seeds.push_back(machine.ip + ":" + std::to_string(m_ports.control));
        }
    }

    ~Deployment() { stop(); }

    std::string address(int group, int n) const { return "127." + std::to_string(m_net) + "." + std::to_string(group) + "." + std::to_string(n); }
    const Ports& ports() const { return m_ports; }
    const std::vector<std::string>& seeds() const { return m_seeds; }
    std::vector<Machine>& machines() { return m_machines; }
    Record& record() { return m_record; }

    std::vector<Machine*> ofClass(const std::string& machineClass)
    {
        std::vector<Machine*> out;
        for (auto& it : m_machines) {
            if (it.machineClass == machineClass)
                out.push_back(&it);
        }
        return out;
    }

    /// Starts all machines at once.
    void startAll()
    {
        startOne(0);
        startOthers();
    }

    /// Starts one machine; the others wait for startOthers().
    void startOne(size_t n)
    {
        for (auto& machine : m_machines)
            machine.held = &machine != &m_machines[n];
        start(m_machines[n]);
        m_supervisor = std::thread([this] { supervise(); });
    }

    void startOthers()
    {
        const std::lock_guard lock(m_mutex);
        for (auto& machine : m_machines) {
            if (std::exchange(machine.held, false) && !machine.pid)
                start(machine);
        }
    }

    void kill(Machine& machine, int signal)
    {
        const std::lock_guard lock(m_mutex);
        if (!machine.pid)
            return;
        if (signal == SIGKILL)
            machine.killedByTest = true;
        ::kill(machine.pid, signal);
        m_record.line("signal " + std::to_string(signal) + " to " + machine.name);
    }

    int ownEnds(const Machine& machine)
    {
        const std::lock_guard lock(m_mutex);
        return machine.ownEnds;
    }

    void stop()
    {
        if (m_stopping.exchange(true))
            return;
        if (m_supervisor.joinable())
            m_supervisor.join();
        for (auto& machine : m_machines) {
            if (!machine.pid)
                continue;
            ::kill(machine.pid, SIGCONT);
            ::kill(machine.pid, SIGKILL);
            ::waitpid(machine.pid, nullptr, 0);
            machine.pid = 0;
        }
    }

private:
    bool isFree() const
    {
        for (int n = 1; n <= 16; ++n) {
            for (const int port : { m_ports.internalFirst, m_ports.internalLast, m_ports.front, m_ports.ready, m_ports.control, m_ports.directory, m_ports.runner, m_ports.cloud }) {
                const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
                const auto at = toSockaddr({ "127." + std::to_string(m_net) + ".1." + std::to_string(n), port });
                const bool free = !::bind(fd, reinterpret_cast<const sockaddr*>(&at), sizeof(at));
                ::close(fd);
                if (!free)
                    return false;
            }
        }
        return true;
    }

    // The values are those of the small deployment in lhr, except addresses and ports.
    json::value settings(const Machine& machine) const
    {
        json::object zones;
        for (const auto& zone : m_zones)
            zones[zone] = "pk-punjab";
        json::array seeds;
        for (const auto& seed : m_seeds)
            seeds.emplace_back(seed);
        json::object listen;
        const auto at = [&](int port) { return machine.ip + ":" + std::to_string(port); };
        if (machine.machineClass == "front") {
            listen["front"] = at(m_ports.front);
            listen["ready"] = at(m_ports.ready);
        } else {
            listen["control"] = at(m_ports.control);
            listen["directory"] = at(m_ports.directory);
        }
        json::object out {
            { "nodeName", machine.name },
            { "role", machine.role->name },
            { "machineClass", machine.machineClass },
            { "ip", machine.ip },
            { "zone", machine.zone },
            { "region", "pk-punjab" },
            { "internalPorts", json::array { m_ports.internalFirst, m_ports.internalLast } },
            { "seeds", seeds },
            { "bootstrap", machine.bootstrap },
            { "lossCounts", machine.machineClass == "core" },
            { "discovery", "registry" },
            { "entry", "directory" },
            { "heartbeatMs", 1200 },
            { "configMode", "highest" },
            { "zones", zones },
            { "listen", listen },
            { "dataDir", machine.dataDir },
            { "limits", json::object { { "cpuShare", 0.25 }, { "cpuCores", 1 }, { "memoryMb", 260 }, { "maxFds", 4100 }, { "linkMbps", 1000.0 }, { "diskMb", machine.machineClass == "core" ? 128 : 0 } } },
            { "faultTolerance", json::object { { "machines", 1 }, { "zones", 0 }, { "regions", 0 } } },
            { "bounds", json::object { { "seedLagS", 3 }, { "addrReuseS", 2 }, { "contactMs", 3000 }, { "ackMs", 4000 }, { "catchUpS", 4 }, { "drainMs", 2000 }, { "graceS", 8 }, { "lostSlackMs", 200 }, { "configApplyMs", 2000 }, { "rollbackSlackMs", 250 }, { "maxSkewMs", 5000 }, { "revokeFailClosed", false }, { "revokeMs", 5000 }, { "retryBudgetRatio", 0.2 }, { "budgetWindowS", 10 }, { "budgetExtra", 54 }, { "quotaWindowS", 8 }, { "quotaOvershoot", 0.1 }, { "quotaSlack", 110000 }, { "requireFencing", false }, { "leaseMs", 3000 }, { "thawMs", 300 }, { "usageWindowS", 5 }, { "usageTolerance", 0.05 }, { "usageLateS", 10 }, { "exposureShare", 0.1 }, { "exposureSlack", 50 }, { "rollbackMs", 5000 }, { "recoveryS", 12 }, { "passMs", 120 }, { "reuseWindowS", 6.4 }, { "ttl_max_s", 5 } } },
            { "cloudApi", json::object { { "address", address(3, 1) + ":" + std::to_string(m_ports.cloud) }, { "ratePerS", 50.0 }, { "duties", json::array { "usage_report", "autoscale" } }, { "dutyPerS", 50.0 } } },
        };
        return out;
    }

    void start(Machine& machine)
    {
        if (!machine.dataDir.empty())
            std::filesystem::create_directories(machine.dataDir);
        std::ofstream(machine.settingsPath) << Template::render(readFile(m_root + "/" + machine.role->templatePath), settings(machine));
        const std::string config = "SISKINSHUNT_CONFIG=" + machine.settingsPath;
        const std::string path = std::string("PATH=") + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
        const std::string home = "HOME=" + m_folder;
        std::vector<std::string> words = machine.role->run;
        std::vector<char*> arguments;
        for (auto& word : words)
            arguments.push_back(word.data());
        arguments.push_back(nullptr);
        std::vector<char*> environment { const_cast<char*>(config.c_str()), const_cast<char*>(path.c_str()), const_cast<char*>(home.c_str()), const_cast<char*>("LANG=C"), nullptr };
        const int log = ::open(machine.logPath.c_str(), O_CREAT | O_WRONLY | O_APPEND | O_CLOEXEC, 0644);
        const pid_t pid = ::fork();
        if (!pid) {
            // No process outlives the script, however that ends.
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            ::dup2(log, 1);
            ::dup2(log, 2);
            if (::chdir(m_root.c_str()))
                ::_exit(126);
            ::execve(arguments[0], arguments.data(), environment.data());
            ::_exit(127);
        }
        ::close(log);
        machine.pid = pid;
        machine.killedByTest = false;
        m_record.line("start " + machine.name + " at " + machine.ip + ", bootstrap " + (machine.bootstrap ? "true" : "false"));
    }

    // Restarts what has ended, with the settings in effect then. `bootstrap` is true only when the whole system starts for the first time.
    void supervise()
    {
        while (!m_stopping) {
            {
                const std::lock_guard lock(m_mutex);
                for (auto& machine : m_machines) {
                    int status = 0;
                    if (machine.pid && ::waitpid(machine.pid, &status, WNOHANG) == machine.pid) {
                        machine.pid = 0;
                        machine.restartAt = steadyMs() + restartDelayMs;
                        if (!machine.killedByTest)
                            ++machine.ownEnds;
                        m_record.line("end of " + machine.name + (machine.killedByTest ? ", killed by the test" : WIFEXITED(status) ? ", by itself, exit code " + std::to_string(WEXITSTATUS(status))
                                                                                                                                    : ", by itself, signal " + std::to_string(WTERMSIG(status))));
                    }
                    if (!machine.pid && !machine.held && steadyMs() >= machine.restartAt) {
                        machine.bootstrap = false;
                        start(machine);
                    }
                }
            }
            sleepMs(10);
        }
    }

    std::string m_root;
    std::string m_folder;
    Record& m_record;
    std::vector<Role> m_roles;
    int m_net = 0;
    Ports m_ports {};
    std::set<std::string> m_zones;
    std::vector<Machine> m_machines;
    std::vector<std::string> m_seeds;
    std::mutex m_mutex;
    std::thread m_supervisor;
    std::atomic<bool> m_stopping { false };
};

}
