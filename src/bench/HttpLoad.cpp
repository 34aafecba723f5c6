#include "bench/HttpLoad.h"

#include "base/Random.h"

#include <arpa/inet.h>
#include <array>
#include <cerrno>
#include <chrono>
#include <cmath>
#include <deque>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <stdexcept>
#include <string_view>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace siskinshunt {

namespace {

    using Clock = std::chrono::steady_clock;

    struct Connection {
        int socket = -1;
        std::string in;
        bool busy = false;
        Clock::time_point due;
    };

    /// Length of the response at the start of the bytes; 0 if it is incomplete. Responses must have a content length.
    size_t responseLength(std::string_view bytes)
    {
        const size_t head = bytes.find("\r\n\r\n");
        if (head == std::string_view::npos)
            return 0;
        static constexpr std::string_view name = "content-length:";
        for (size_t line = bytes.find("\r\n"); line < head; line = bytes.find("\r\n", line + 2)) {
            const auto text = bytes.substr(line + 2, name.size());
            size_t n = 0;
            while (n < text.size() && (static_cast<unsigned char>(text[n]) | 32U) == static_cast<unsigned char>(name[n]))
                ++n;
            // Setting bit 5 does not change a colon, so this comparison also matches the colon.
            if (n < name.size())
                continue;
            const size_t length = std::stoul(std::string(bytes.substr(line + 2 + name.size(), 12)));
            return bytes.size() >= head + 4 + length ? head + 4 + length : 0;
        }
        throw std::runtime_error("HTTP response without a Content-Length header");
    }

    int connectTo(const std::string& address)
    {
        const size_t colon = address.find(':');
        sockaddr_in to {};
        to.sin_family = AF_INET;
        to.sin_port = htons(static_cast<uint16_t>(std::stoi(address.substr(colon + 1))));
        ::inet_pton(AF_INET, address.substr(0, colon).c_str(), &to.sin_addr);
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        if (::connect(socket, reinterpret_cast<sockaddr*>(&to), sizeof(to)) == 0)
            return socket;
        ::close(socket);
        return -1;
    }

    class Load {
    public:
        explicit Load(const HttpLoadOptions& options)
            : m_options(options)
            , m_random(options.seed)
            , m_epoll(::epoll_create1(EPOLL_CLOEXEC))
        {
            for (size_t n = 0; n < options.connections; ++n)
                open(n);
            if (m_idle.empty())
                throw std::runtime_error("cannot connect to " + options.addresses.front());
        }
        ~Load()
        {
            for (const auto& it : m_connections)
                ::close(it.socket);
            ::close(m_epoll);
        }
        Load(const Load&) = delete;
        Load& operator=(const Load&) = delete;

        HttpLoadResult run();

    private:
        void open(size_t n)
        {
            const int socket = connectTo(m_options.addresses[n % m_options.addresses.size()]);
            if (socket < 0) {
                ++m_result.failedConnections;
                return;
            }
            const size_t index = m_connections.size();
            m_connections.push_back({ .socket = socket, .in = {}, .busy = false, .due = {} });
            epoll_event event {};
            event.events = EPOLLIN;
            event.data.u64 = index;
            ::epoll_ctl(m_epoll, EPOLL_CTL_ADD, socket, &event);
            m_idle.push_back(index);
        }

        void send(size_t index, Clock::time_point due)
        {
            auto& it = m_connections[index];
            it.busy = true;
            it.due = due;
            if (::send(it.socket, m_options.request.data(), m_options.request.size(), MSG_NOSIGNAL) != static_cast<ssize_t>(m_options.request.size()))
                dropConnection(index);
        }

        void dropConnection(size_t index)
        {
            ++m_result.failedConnections;
            ::epoll_ctl(m_epoll, EPOLL_CTL_DEL, m_connections[index].socket, nullptr);
        }

        void read(size_t index)
        {
            auto& it = m_connections[index];
            std::array<char, 16384> buf {};
            const ssize_t n = ::recv(it.socket, buf.data(), buf.size(), MSG_DONTWAIT);
            if (n < 0 && (errno == EAGAIN || errno == EINTR))
                return;
            if (n <= 0)
                return dropConnection(index);
            it.in.append(buf.data(), static_cast<size_t>(n));
            const size_t length = responseLength(it.in);
            if (!length)
                return;
            const bool ok = std::string_view(it.in).substr(9, 3) == "200";
            it.in.erase(0, length);
            it.busy = false;
            recordResponse(index, ok);
        }

        void recordResponse(size_t index, bool ok)
        {
            const auto now = Clock::now();
            if (now >= m_measureFrom) {
                ++(ok ? m_result.answered : m_result.otherStatus);
                if (ok)
                    m_result.latencyUs.record(static_cast<uint64_t>(std::chrono::duration_cast<std::chrono::microseconds>(now - m_connections[index].due).count()));
            }
            if (m_options.rate > 0)
                m_idle.push_back(index);
            else
                send(index, now);
        }

        /// Sends the due requests on idle connections; requests without an idle connection wait in m_due.
        void sendDue(Clock::time_point now)
        {
            for (; m_next <= now; m_next += gap())
                m_due.push_back(m_next);
            while (!m_due.empty() && !m_idle.empty()) {
                send(m_idle.back(), m_due.front());
                m_idle.pop_back();
                m_due.pop_front();
            }
        }

        Clock::duration gap()
        {
            const double seconds = -std::log(1 - m_random.uniform()) / m_options.rate;
            return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds));
        }

        int waitMs(Clock::time_point now) const
        {
            if (m_options.rate <= 0)
                return 20;
            // For waits below 1 ms the thread polls, because epoll_wait() would wait for the whole millisecond.
            return m_next - now > std::chrono::milliseconds(1) ? 1 : 0;
        }

        const HttpLoadOptions& m_options;
        Random m_random;
        int m_epoll = -1;
        std::vector<Connection> m_connections;
        std::vector<size_t> m_idle;
        std::deque<Clock::time_point> m_due;
        Clock::time_point m_next;
        Clock::time_point m_measureFrom;
        HttpLoadResult m_result;
    };

    HttpLoadResult Load::run()
    {
        const auto start = Clock::now();
        const auto span = [](double seconds) { return std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(seconds)); };
        m_measureFrom = start + span(m_options.warmUp);
        const auto end = m_measureFrom + span(m_options.seconds);
        m_next = start;
        if (m_options.rate <= 0) {
            for (const size_t index : m_idle)
                send(index, start);
        }
        std::array<epoll_event, 64> events {};
        for (auto now = start; now < end; now = Clock::now()) {
            if (m_options.rate > 0)
                sendDue(now);
            const int n = ::epoll_wait(m_epoll, events.data(), events.size(), waitMs(now));
            for (int i = 0; i < n; ++i)
                read(events[static_cast<size_t>(i)].data.u64);
        }
        m_result.perSecond = static_cast<double>(m_result.answered) / m_options.seconds;
        return m_result;
    }

}

HttpLoadResult runHttpLoad(const HttpLoadOptions& options)
{
    return Load(options).run();
}

}
