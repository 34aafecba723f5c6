#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Called with a description of the violated invariant before the process aborts; the daemon logs it.
using InvariantHandler = void (*)(const std::string& line);
void setInvariantHandler(InvariantHandler);

[[noreturn]] void invariantFailed(std::string_view what, const char* file, int line, const std::string& state);

inline void appendState(std::ostringstream&) { }

template <class Key, class Value, class... Rest>
void appendState(std::ostringstream& out, const Key& key, const Value& value, const Rest&... rest)
{
    out << ' ' << key << '=' << value;
    appendState(out, rest...);
}

template <class... State>
[[noreturn]] void reportInvariant(std::string_view what, const char* file, int line, const State&... state)
{
    std::ostringstream out;
    appendState(out, state...);
    invariantFailed(what, file, line, out.str());
}

}

/// Logs the given key-value pairs and aborts if the condition is false, in release builds too.
#define INVARIANT(condition, what, ...)                                                          \
    do {                                                                                         \
        if (!(condition)) [[unlikely]]                                                           \
            ::siskinshunt::reportInvariant(what, __FILE__, __LINE__ __VA_OPT__(, ) __VA_ARGS__); \
    } while (false)
