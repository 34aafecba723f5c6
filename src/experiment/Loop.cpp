#include "experiment/Loop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <csignal>

namespace siskinshunt {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;

struct Loop::State {
    asio::io_context context { 1 };
    asio::signal_set signals { context };
    Clock::time_point start = Clock::now();
};

Loop::Loop()
    : m_state(std::make_unique<State>())
{
}

Loop::~Loop() = default;

TimeMs Loop::now() const
{
    return { std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - m_state->start).count() };
}

void Loop::after(TimeMs delay, std::function<void()> body)
{
    auto timer = std::make_shared<asio::steady_timer>(m_state->context, std::chrono::milliseconds(delay.value));
    timer->async_wait([timer, body = std::move(body)](boost::system::error_code ec) {
        if (!ec)
            body();
    });
}

void Loop::run() { m_state->context.run(); }

void Loop::stop() { m_state->context.stop(); }

void Loop::onSignal(std::function<void()> body)
{
    m_state->signals.add(SIGINT);
    m_state->signals.add(SIGTERM);
    m_state->signals.async_wait([body = std::move(body)](boost::system::error_code ec, int) {
        if (!ec)
            body();
    });
}

asio::io_context& Loop::context() { return m_state->context; }

}
