#pragma once

#include <compare>
#include <cstdint>

namespace siskinshunt {

/// Milliseconds. Used for durations and for points in time relative to an epoch that the caller chooses
/// (the daemon uses a monotonic clock and converts the wall-clock times of rules where it reads them).
struct TimeMs {
    int64_t value = 0;

    // Not defaulted: clang-tidy 14 reports modernize-use-nullptr for the literal 0 in a defaulted comparison.
    constexpr std::strong_ordering operator<=>(const TimeMs& other) const { return value <=> other.value; }
    constexpr bool operator==(const TimeMs&) const = default;
    constexpr TimeMs& operator+=(TimeMs other)
    {
        value += other.value;
        return *this;
    }
    constexpr TimeMs& operator-=(TimeMs other)
    {
        value -= other.value;
        return *this;
    }
    constexpr double seconds() const { return static_cast<double>(value) / 1000.0; }

    template <class Archive>
    void serialize(Archive& archive) { archive(value); }
};

constexpr TimeMs operator+(TimeMs a, TimeMs b) { return { a.value + b.value }; }
constexpr TimeMs operator-(TimeMs a, TimeMs b) { return { a.value - b.value }; }
constexpr TimeMs operator*(TimeMs a, int64_t n) { return { a.value * n }; }
constexpr TimeMs operator/(TimeMs a, int64_t n) { return { a.value / n }; }

/// Later than any point in time in use.
constexpr TimeMs farFuture { INT64_C(1) << 60 };

inline namespace literals {
    constexpr TimeMs operator""_ms(unsigned long long n) { return { static_cast<int64_t>(n) }; }
    constexpr TimeMs operator""_s(unsigned long long n) { return { static_cast<int64_t>(n) * 1000 }; }
    constexpr TimeMs operator""_min(unsigned long long n) { return { static_cast<int64_t>(n) * 60000 }; }
}

}
