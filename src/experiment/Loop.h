#pragma once

#include "base/TimeMs.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace siskinshunt {

/// Single-threaded event loop with one-shot timers.
class Loop {
public:
    Loop();
    ~Loop();
    Loop(const Loop&) = delete;
    Loop& operator=(const Loop&) = delete;

    /// Monotonic time since the loop was created.
    TimeMs now() const;
    /// Runs the function once after the delay.
    void after(TimeMs delay, std::function<void()>);
    /// Runs until stop() is called or no work is left.
    void run();
    void stop();
    /// Calls the function on the first SIGINT or SIGTERM instead of terminating the process.
    void onSignal(std::function<void()>);

    boost::asio::io_context& context();

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
