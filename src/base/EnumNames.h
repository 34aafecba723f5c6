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

/// Name table of an enumeration. Each enumeration specializes it next to its definition:
///     template<> inline constexpr auto enumNames<Color> = std::to_array<EnumName<Color>>({ { Color::Red, "red" } });
template <class E>
inline constexpr std::span<const EnumName<E>> enumNames {};

/// Name of the value, or "?" if it has none.
template <class E>
constexpr std::string_view nameOf(E value)
{
    for (const auto& it : enumNames<E>) {
        if (it.value == value)
            return it.name;
    }
    return "?";
}

/// Value with this name, or nullopt.
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
