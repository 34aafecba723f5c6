#include "rules/RuleValues.h"

#include <charconv>
#include <chrono>
#include <cmath>

namespace siskinshunt {

static constexpr size_t maxNameLength = 64;

template <class T>
static std::optional<T> parseWhole(std::string_view text)
{
    T n {};
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), n);
    if (text.empty() || ec != std::errc {} || end != text.data() + text.size())
        return std::nullopt;
    return n;
}

std::optional<double> parseNumber(std::string_view text)
{
    // from_chars also accepts signs, exponents, "inf" and "nan", which the rule language does not have.
    if (text.find_first_not_of("0123456789.") != std::string_view::npos)
        return std::nullopt;
    return parseWhole<double>(text);
}

std::optional<uint64_t> parseCount(std::string_view text)
{
    return parseWhole<uint64_t>(text);
}

static std::optional<double> parseWithSuffix(std::string_view text, std::string_view suffix)
{
    if (!text.ends_with(suffix))
        return std::nullopt;
    return parseNumber(text.substr(0, text.size() - suffix.size()));
}

std::optional<TimeMs> parseDuration(std::string_view text)
{
    struct Unit {
        std::string_view suffix;
        double milliseconds;
    };
    static constexpr Unit units[] = { { "ms", 1 }, { "s", 1000 }, { "m", 60000 }, { "h", 3600000 } };
    for (const auto& unit : units) {
        const auto n = parseWithSuffix(text, unit.suffix);
        if (n && *n * unit.milliseconds < 1e15)
            return TimeMs { std::llround(*n * unit.milliseconds) };
    }
    return std::nullopt;
}

std::optional<double> parsePercent(std::string_view text)
{
    const auto n = parseWithSuffix(text, "%");
    if (!n || *n > 100)
        return std::nullopt;
    return *n / 100;
}

std::optional<double> parseRate(std::string_view text)
{
    return parseWithSuffix(text, "/s");
}

std::optional<double> parseFactor(std::string_view text)
{
    return parseWithSuffix(text, "x");
}

std::optional<uint64_t> parseBytes(std::string_view text)
{
    int shift = 0;
    if (text.ends_with("KB"))
        shift = 10;
    else if (text.ends_with("MB"))
        shift = 20;
    const auto n = parseCount(shift ? text.substr(0, text.size() - 2) : text);
    if (!n || *n > (uint64_t { 1 } << 40))
        return std::nullopt;
    return *n << shift;
}

static std::optional<int> parseDigits(std::string_view text, size_t at, size_t count)
{
    if (text.size() < at + count)
        return std::nullopt;
    const auto part = text.substr(at, count);
    if (part.find_first_not_of("0123456789") != std::string_view::npos)
        return std::nullopt;
    return parseWhole<int>(part);
}

std::optional<TimeMs> parseUtc(std::string_view text)
{
    const bool withSeconds = text.size() == 20;
    if ((text.size() != 17 && !withSeconds) || text.back() != 'Z' || text[4] != '-' || text[7] != '-' || text[10] != 'T' || text[13] != ':')
        return std::nullopt;
    if (withSeconds && text[16] != ':')
        return std::nullopt;
    const auto year = parseDigits(text, 0, 4);
    const auto month = parseDigits(text, 5, 2);
    const auto day = parseDigits(text, 8, 2);
    const auto hour = parseDigits(text, 11, 2);
    const auto minute = parseDigits(text, 14, 2);
    const auto second = withSeconds ? parseDigits(text, 17, 2) : std::optional<int>(0);
    if (!year || !month || !day || !hour || !minute || !second || *hour > 23 || *minute > 59 || *second > 59)
        return std::nullopt;
    const std::chrono::year_month_day date { std::chrono::year(*year), std::chrono::month(static_cast<unsigned>(*month)), std::chrono::day(static_cast<unsigned>(*day)) };
    if (!date.ok())
        return std::nullopt;
    const int64_t days = std::chrono::sys_days(date).time_since_epoch().count();
    return TimeMs { ((days * 24 + *hour) * 60 + *minute) * 60000 + static_cast<int64_t>(*second) * 1000 };
}

bool isRuleName(std::string_view text)
{
    static constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return !text.empty() && text.size() <= maxNameLength && text.find_first_not_of(allowed) == std::string_view::npos;
}

}
