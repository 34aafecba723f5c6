#pragma once

#include <sstream>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Called with the text of a broken invariant before the process aborts. The daemon installs its log here.
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

/// Stops the process when the condition is false, in release builds too, after logging the pairs of key and value given.
#define INVARIANT(condition, what, ...)                                                          \
    do {                                                                                         \
        if (!(condition)) [[unlikely]]                                                           \
            ::siskinshunt::reportInvariant(what, __FILE__, __LINE__ __VA_OPT__(, ) __VA_ARGS__); \
    } while (false)
