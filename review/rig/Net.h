// Blocking HTTP/1.1 over loopback sockets, for the stand-ins of the review cases.
#pragma once

#include <arpa/inet.h>
#include <atomic>
#include <chrono>
#include <cstring>
#include <fcntl.h>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <string>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace rig {

using Clock = std::chrono::steady_clock;

inline int64_t steadyMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now().time_since_epoch()).count();
}

inline int64_t unixMs()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

inline void sleepMs(int64_t ms)
{
    if (ms > 0)
        std::this_thread::sleep_for(std::chrono::milliseconds(ms));
}

struct Address {
    std::string ip;
    int port = 0;

    std::string text() const { return ip + ":" + std::to_string(port); }
};

inline Address parseAddress(const std::string& text)
{
    const auto colon = text.rfind(':');
    return { text.substr(0, colon), colon == std::string::npos ? 0 : std::atoi(text.c_str() + colon + 1) };
}

inline sockaddr_in toSockaddr(const Address& address)
{
    sockaddr_in out {};
    out.sin_family = AF_INET;
    out.sin_port = htons(static_cast<uint16_t>(address.port));
    inet_pton(AF_INET, address.ip.c_str(), &out.sin_addr);
    return out;
}

using Headers = std::vector<std::pair<std::string, std::string>>;

inline std::string headerOf(const Headers& headers, const char* name)
{
    for (const auto& [key, value] : headers) {
        if (!strcasecmp(key.c_str(), name))
            return value;
    }
    return {};
}

struct Message {
    std::string startLine;
    Headers headers;
    std::string body;
    bool complete = false;

    int status() const { return startLine.size() > 12 ? std::atoi(startLine.c_str() + 9) : 0; }
    std::string method() const { return startLine.substr(0, startLine.find(' ')); }
    std::string target() const
    {
        const auto first = startLine.find(' ');
        return first == std::string::npos ? "" : startLine.substr(first + 1, startLine.find(' ', first + 1) - first - 1);
    }
};

// A connected socket with a read buffer. All calls have a deadline in steady milliseconds.
class Socket {
public:
    explicit Socket(int fd = -1)
        : m_fd(fd)
    {
    }
    ~Socket() { close(); }
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;

    bool isOpen() const { return m_fd >= 0; }
    void close()
    {
        if (m_fd >= 0)
            ::close(m_fd);
        m_fd = -1;
        m_in.clear();
    }
    void reset()
    {
        const linger option { 1, 0 };
        ::setsockopt(m_fd, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
        close();
    }

    bool connect(const Address& to, int64_t deadline)
    {
        close();
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
        const auto address = toSockaddr(to);
        if (::connect(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) && errno != EINPROGRESS) {
            close();
            return false;
        }
        int error = 0;
        socklen_t n = sizeof(error);
        if (!wait(POLLOUT, deadline) || ::getsockopt(m_fd, SOL_SOCKET, SO_ERROR, &error, &n) || error) {
            close();
            return false;
        }
        const int on = 1;
        ::setsockopt(m_fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        return true;
    }

    bool send(const std::string& bytes, int64_t deadline)
    {
        size_t done = 0;
        while (done < bytes.size()) {
            const ssize_t n = ::send(m_fd, bytes.data() + done, bytes.size() - done, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (n > 0) {
                done += static_cast<size_t>(n);
                continue;
            }
            if (n < 0 && errno != EAGAIN && errno != EINTR)
                return false;
            if (!wait(POLLOUT, deadline))
                return false;
        }
        return true;
    }

    // Reads one message: a request or a response. `isResponse`: a body without a length ends with the connection.
    Message readMessage(bool isResponse, int64_t deadline, bool hasNoBody = false)
    {
        Message out;
        size_t end = std::string::npos;
        while ((end = m_in.find("\r\n\r\n")) == std::string::npos) {
            if (!readMore(deadline))
                return out;
        }
        parseHead(m_in.substr(0, end), out);
        m_in.erase(0, end + 4);
        const std::string length = headerOf(out.headers, "Content-Length");
        if (hasNoBody)
            out.complete = true;
        else if (headerOf(out.headers, "Transfer-Encoding") == "chunked")
            out.complete = readChunks(out, deadline);
        else if (!length.empty())
            out.complete = readExactly(out.body, static_cast<size_t>(std::atoll(length.c_str())), deadline);
        else if (isResponse && out.status() != 204 && out.status() != 304) {
            while (readMore(deadline)) { }
            out.body = std::exchange(m_in, {});
            out.complete = m_eof;
        } else
            out.complete = true;
        return out;
    }

    // Whether the peer has closed or reset the connection.
    bool isClosedByPeer()
    {
        char c;
        const ssize_t n = ::recv(m_fd, &c, 1, MSG_PEEK | MSG_DONTWAIT);
        return !n || (n < 0 && errno != EAGAIN && errno != EINTR);
    }

private:
    bool wait(short events, int64_t deadline)
    {
        while (true) {
            const int64_t left = deadline - steadyMs();
            if (left <= 0)
                return false;
            pollfd poll { m_fd, events, 0 };
            const int n = ::poll(&poll, 1, static_cast<int>(std::min<int64_t>(left, 1000)));
            if (n > 0)
                return true;
        }
    }

    bool readMore(int64_t deadline)
    {
        char buf[16384];
        while (m_fd >= 0) {
            const ssize_t n = ::recv(m_fd, buf, sizeof(buf), MSG_DONTWAIT);
            if (n > 0) {
                m_in.append(buf, static_cast<size_t>(n));
                return true;
            }
            if (!n) {
                m_eof = true;
                return false;
            }
            if (errno != EAGAIN && errno != EINTR)
                return false;
            if (!wait(POLLIN, deadline))
                return false;
        }
        return false;
    }

    bool readExactly(std::string& out, size_t n, int64_t deadline)
    {
        while (m_in.size() < n) {
            if (!readMore(deadline))
                return false;
        }
        out += m_in.substr(0, n);
        m_in.erase(0, n);
        return true;
    }

    bool readChunks(Message& out, int64_t deadline)
    {
        while (true) {
            size_t end = std::string::npos;
            while ((end = m_in.find("\r\n")) == std::string::npos) {
                if (!readMore(deadline))
                    return false;
            }
            const size_t n = std::strtoul(m_in.c_str(), nullptr, 16);
            m_in.erase(0, end + 2);
            std::string crlf;
            if (!readExactly(out.body, n, deadline) || !readExactly(crlf, 2, deadline))
                return false;
            if (!n)
                return true;
        }
    }

    static void parseHead(const std::string& head, Message& out)
    {
        size_t begin = 0;
        while (begin <= head.size()) {
            const auto end = std::min(head.find("\r\n", begin), head.size());
            const std::string line = head.substr(begin, end - begin);
            begin = end + 2;
            if (out.startLine.empty()) {
                out.startLine = line;
                continue;
            }
            const auto colon = line.find(':');
            if (colon == std::string::npos)
                continue;
            const auto value = line.find_first_not_of(" \t", colon + 1);
            out.headers.emplace_back(line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
        }
    }

    int m_fd;
    std::string m_in;
    bool m_eof = false;
};

inline std::string formatMessage(const std::string& startLine, const Headers& headers, const std::string& body, bool withLength)
{
    std::string out = startLine + "\r\n";
    for (const auto& [name, value] : headers)
        out += name + ": " + value + "\r\n";
    if (withLength)
        out += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return out + "\r\n" + body;
}

// One call on a connection of its own.
inline Message call(const Address& to, const std::string& method, const std::string& target, const Headers& headers, const std::string& body, int64_t timeoutMs)
{
    const int64_t deadline = steadyMs() + timeoutMs;
    Socket socket;
    if (!socket.connect(to, deadline))
        return {};
    Headers all { { "Host", to.text() }, { "Connection", "close" } };
    all.insert(all.end(), headers.begin(), headers.end());
    if (!socket.send(formatMessage(method + " " + target + " HTTP/1.1", all, body, !body.empty() || method == "POST" || method == "PUT"), deadline))
        return {};
    return socket.readMessage(true, deadline, method == "HEAD");
}

// Accepts connections and gives each request to the handler, which answers on the socket and returns whether to keep it.
class Server {
public:
    using Handler = std::function<bool(const Message&, Socket&)>;

    Server(const Address& listen, Handler handler)
        : m_handler(std::move(handler))
    {
        m_fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(m_fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
        const auto address = toSockaddr(listen);
        m_isOpen = !::bind(m_fd, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) && !::listen(m_fd, 256);
        if (m_isOpen)
            m_acceptor = std::thread([this] { accept(); });
    }
    ~Server()
    {
        m_stopping = true;
        if (m_acceptor.joinable())
            m_acceptor.join();
        ::close(m_fd);
        while (m_connections)
            sleepMs(5);
    }
    bool isOpen() const { return m_isOpen; }

private:
    void accept()
    {
        while (!m_stopping) {
            pollfd poll { m_fd, POLLIN, 0 };
            if (::poll(&poll, 1, 50) <= 0)
                continue;
            const int fd = ::accept4(m_fd, nullptr, nullptr, SOCK_CLOEXEC | SOCK_NONBLOCK);
            if (fd < 0)
                continue;
            const int on = 1;
            ::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
            ++m_connections;
            std::thread([this, fd] { serve(fd); }).detach();
        }
    }

    void serve(int fd)
    {
        {
            Socket socket(fd);
            while (!m_stopping) {
                pollfd poll { fd, POLLIN, 0 };
                if (::poll(&poll, 1, 50) <= 0)
                    continue;
                const Message request = socket.readMessage(false, steadyMs() + 5000);
                if (!request.complete || !m_handler(request, socket) || !socket.isOpen())
                    break;
            }
        }
        --m_connections;
    }

    Handler m_handler;
    int m_fd = -1;
    bool m_isOpen = false;
    std::atomic<bool> m_stopping { false };
    std::atomic<int> m_connections { 0 };
    std::thread m_acceptor;
};

}
