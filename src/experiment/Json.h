#pragma once

#include "base/Error.h"
#include "base/TimeMs.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace siskinshunt {

/// A JSON value as plain data, so that headers do not depend on a JSON library. Objects keep the order of their members.
struct Json {
    enum class Kind : uint8_t {
        Null,
        Bool,
        Int,
        Double,
        Text,
        Array,
        Object,
    };
    using Members = std::vector<std::pair<std::string, Json>>;

    Json() = default;
    Json(bool value);
    Json(int value);
    Json(int64_t value);
    Json(uint64_t value);
    Json(uint32_t value);
    Json(double value);
    Json(TimeMs value); ///< A count of milliseconds.
    Json(const char* value);
    Json(std::string_view value);
    Json(std::string value);

    static Json array(std::vector<Json> = {});
    static Json object(Members = {});

    /// Member of an object, or a null value if it is absent.
    const Json& operator[](std::string_view key) const;
    bool has(std::string_view key) const;
    /// Appends or replaces a member; makes the value an object.
    Json& set(std::string key, Json value);
    Json& push(Json value);

    std::string_view asText() const; ///< Empty if the value is not a string.
    int64_t asInt(int64_t defaultValue = 0) const; ///< Truncates a double.
    double asDouble(double defaultValue = 0) const; ///< Converts an integer.
    bool asBool(bool defaultValue = false) const;

    Kind kind = Kind::Null;
    bool flag = false;
    int64_t integer = 0;
    double real = 0;
    std::string text;
    std::vector<Json> items;
    Members members;
};

/// Parses JSON with comments. Fails with Invalid; `source` names the input in the error.
Result<Json> parseJson(std::string_view text, const std::string& source);

/// Reads and parses a file. Fails with Io or Invalid.
Result<Json> readJsonFile(const std::string& path);

/// Serializes JSON on one line.
std::string toText(const Json&);

/// Human-readable form: a string without quotes, any other value as JSON.
std::string toPlainText(const Json&);

}
