#pragma once

#include <optional>
#include <span>
#include <string_view>

namespace siskinshunt {

template <class E>
struct EnumName {
    E value;
    std::string_view name;
};

/// Table of names of an enumeration. Each enumeration specialises it next to its definition:
///     template<> inline constexpr auto enumNames<Color> = std::to_array<EnumName<Color>>({ { Color::Red, "red" } });
template <class E>
inline constexpr std::span<const EnumName<E>> enumNames {};

/// Name of the value, or "?" if the table lacks it.
template <class E>
constexpr std::string_view nameOf(E value)
{
    for (const auto& it : enumNames<E>) {
        if (it.value == value)
            return it.name;
    }
    return "?";
}

/// Value of the name, if the table has it.
template <class E>
constexpr std::optional<E> parseEnum(std::string_view name)
{
    for (const auto& it : enumNames<E>) {
        if (it.name == name)
            return it.value;
    }
    return std::nullopt;
}

}
