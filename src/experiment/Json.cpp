#include "experiment/Json.h"

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <fstream>
#include <sstream>

namespace siskinshunt {

namespace json = boost::json;

Json::Json(bool value)
    : kind(Kind::Bool)
    , flag(value)
{
}
Json::Json(int value)
    : Json(static_cast<int64_t>(value))
{
}
Json::Json(int64_t value)
    : kind(Kind::Int)
    , integer(value)
{
}
Json::Json(uint64_t value)
    : Json(static_cast<int64_t>(value))
{
}
Json::Json(uint32_t value)
    : Json(static_cast<int64_t>(value))
{
}
Json::Json(double value)
    : kind(Kind::Double)
    , real(value)
{
}
Json::Json(TimeMs value)
    : Json(value.value)
{
}
Json::Json(const char* value)
    : Json(std::string(value))
{
}
Json::Json(std::string_view value)
    : Json(std::string(value))
{
}
Json::Json(std::string value)
    : kind(Kind::Text)
    , text(std::move(value))
{
}

Json Json::array(std::vector<Json> items)
{
    Json out;
    out.kind = Kind::Array;
    out.items = std::move(items);
    return out;
}

Json Json::object(Members members)
{
    Json out;
    out.kind = Kind::Object;
    out.members = std::move(members);
    return out;
}

const Json& Json::operator[](std::string_view key) const
{
    static const Json s_null;
    for (const auto& [name, value] : members) {
        if (name == key)
            return value;
    }
    return s_null;
}

bool Json::has(std::string_view key) const
{
    for (const auto& [name, value] : members) {
        if (name == key)
            return true;
    }
    return false;
}

Json& Json::set(std::string key, Json value)
{
    kind = Kind::Object;
    for (auto& [name, old] : members) {
        if (name == key) {
            old = std::move(value);
            return *this;
        }
    }
    members.emplace_back(std::move(key), std::move(value));
    return *this;
}

Json& Json::push(Json value)
{
    kind = Kind::Array;
    items.push_back(std::move(value));
    return *this;
}

std::string_view Json::asText() const { return text; }

int64_t Json::asInt(int64_t defaultValue) const
{
    if (kind == Kind::Int)
        return integer;
    return kind == Kind::Double ? static_cast<int64_t>(real) : defaultValue;
}

double Json::asDouble(double defaultValue) const
{
    if (kind == Kind::Double)
        return real;
    return kind == Kind::Int ? static_cast<double>(integer) : defaultValue;
}

bool Json::asBool(bool defaultValue) const { return kind == Kind::Bool ? flag : defaultValue; }

static Json fromBoost(const json::value& value)
{
    if (const auto* it = value.if_bool())
        return { *it };
    if (const auto* it = value.if_int64())
        return { static_cast<int64_t>(*it) };
    if (const auto* it = value.if_uint64())
        return { static_cast<double>(*it) };
    if (const auto* it = value.if_double())
        return { *it };
    if (const auto* it = value.if_string())
        return { std::string(*it) };
    if (const auto* it = value.if_array()) {
        auto out = Json::array();
        for (const auto& item : *it)
            out.items.push_back(fromBoost(item));
        return out;
    }
    if (const auto* it = value.if_object()) {
        auto out = Json::object();
        for (const auto& member : *it)
            out.members.emplace_back(member.key(), fromBoost(member.value()));
        return out;
    }
    return {};
}

static json::value toBoost(const Json& value)
{
    switch (value.kind) {
    case Json::Kind::Null:
        return nullptr;
    case Json::Kind::Bool:
        return value.flag;
    case Json::Kind::Int:
        return value.integer;
    case Json::Kind::Double:
        return value.real;
    case Json::Kind::Text:
        return json::value(json::string(value.text));
    case Json::Kind::Array: {
        json::array out;
        for (const auto& it : value.items)
            out.push_back(toBoost(it));
        return out;
    }
    case Json::Kind::Object: {
        json::object out;
        for (const auto& [key, it] : value.members)
            out[key] = toBoost(it);
        return out;
    }
    }
    return nullptr;
}

Result<Json> parseJson(std::string_view text, const std::string& source)
{
    json::error_code ec;
    json::parse_options options;
    options.allow_comments = true;
    options.max_depth = 32;
    const auto value = json::parse(text, ec, {}, options);
    if (ec)
        return fail(ErrorCode::Invalid, Step::Decode, source, ec.message());
    return fromBoost(value);
}

Result<Json> readJsonFile(const std::string& path)
{
    std::ifstream in(path, std::ios::binary);
    if (!in)
        return fail(ErrorCode::Io, Step::ReadSettings, path, "the file cannot be read");
    std::ostringstream text;
    text << in.rdbuf();
    return parseJson(text.str(), path);
}

std::string toText(const Json& value) { return json::serialize(toBoost(value)); }

std::string toPlainText(const Json& value)
{
    return value.kind == Json::Kind::Text ? value.text : toText(value);
}

}
