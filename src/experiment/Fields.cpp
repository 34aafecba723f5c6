#include "experiment/Fields.h"

#include "experiment/SocketAddress.h"

namespace siskinshunt {

Fields::Fields(const Json& object, std::string path, std::string& firstError)
    : m_object(object)
    , m_path(std::move(path))
    , m_error(firstError)
{
    if (object.kind != Json::Kind::Object && m_error.empty())
        m_error = m_path + ": must be an object";
}

void Fields::report(const std::string& key, const std::string& allowed)
{
    if (m_error.empty())
        m_error = m_path + "." + key + ": " + allowed;
}

const Json& Fields::member(const std::string& key)
{
    m_known.insert(key);
    return m_object[key];
}

std::string Fields::text(const std::string& key, std::string_view defaultValue)
{
    const auto& value = member(key);
    if (value.kind == Json::Kind::Null)
        return std::string(defaultValue);
    if (value.kind != Json::Kind::Text)
        report(key, "must be a string");
    return value.text;
}

std::string Fields::requiredText(const std::string& key)
{
    auto out = text(key, "");
    if (out.empty())
        report(key, "must be a non-empty string");
    return out;
}

std::string Fields::address(const std::string& key, bool required)
{
    auto out = text(key, "");
    if ((required || !out.empty()) && !isLocalAddress(out))
        report(key, "must be IP:port with the IP in 127.0.0.0/8");
    return out;
}

int64_t Fields::integer(const std::string& key, int64_t low, int64_t high, int64_t defaultValue)
{
    const auto& value = member(key);
    if (value.kind == Json::Kind::Null)
        return defaultValue;
    if (value.kind != Json::Kind::Int || value.integer < low || value.integer > high)
        report(key, "must be an integer from " + std::to_string(low) + " to " + std::to_string(high));
    return value.integer;
}

double Fields::number(const std::string& key, double low, double high, double defaultValue)
{
    const auto& value = member(key);
    if (value.kind == Json::Kind::Null)
        return defaultValue;
    const bool numeric = value.kind == Json::Kind::Int || value.kind == Json::Kind::Double;
    if (!numeric || value.asDouble() < low || value.asDouble() > high)
        report(key, "must be a number from " + std::to_string(low) + " to " + std::to_string(high));
    return value.asDouble();
}

bool Fields::flag(const std::string& key, bool defaultValue)
{
    const auto& value = member(key);
    if (value.kind != Json::Kind::Null && value.kind != Json::Kind::Bool)
        report(key, "must be true or false");
    return value.asBool(defaultValue);
}

TimeMs Fields::time(const std::string& key, int64_t low, int64_t high, TimeMs defaultValue)
{
    return { integer(key, low, high, defaultValue.value) };
}

const std::vector<Json>& Fields::items(const std::string& key)
{
    const auto& value = member(key);
    if (value.kind != Json::Kind::Null && value.kind != Json::Kind::Array)
        report(key, "must be an array");
    return value.items;
}

std::vector<std::string> Fields::texts(const std::string& key)
{
    std::vector<std::string> out;
    for (const auto& it : items(key)) {
        if (it.kind != Json::Kind::Text)
            report(key, "must contain only strings");
        out.push_back(it.text);
    }
    return out;
}

void Fields::finish()
{
    for (const auto& [key, value] : m_object.members) {
        if (!m_known.contains(key))
            report(key, "unknown key");
    }
}

bool isLocalAddress(std::string_view text)
{
    const auto parsed = parseSocketAddress(text);
    return parsed && parsed->host.starts_with("127.");
}

}
