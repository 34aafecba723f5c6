#include "settings/SettingsReader.h"

#include <algorithm>
#include <boost/json.hpp>
#include <set>

namespace siskinshunt {

namespace json = boost::json;

struct SettingsDocument::Value {
    json::value root;
};

struct SettingsReader::State {
    const json::object* object = nullptr;
    std::string prefix; ///< "timings." for the keys of a nested object.
    std::set<std::string, std::less<>> used;
    std::string* message = nullptr; ///< Shared by the readers of one file.
    std::string ownMessage;
};

SettingsDocument::SettingsDocument()
    : m_value(std::make_unique<Value>())
{
}

SettingsDocument::~SettingsDocument() = default;

static std::string positionOf(std::string_view text, size_t offset)
{
    const auto before = text.substr(0, offset);
    const auto line = static_cast<size_t>(std::count(before.begin(), before.end(), '\n')) + 1;
    const auto lastBreak = before.rfind('\n');
    const size_t column = lastBreak == std::string_view::npos ? offset + 1 : offset - lastBreak;
    return "line " + std::to_string(line) + ", column " + std::to_string(column);
}

std::optional<std::string> SettingsDocument::parse(std::string_view text)
{
    json::parse_options options;
    options.allow_comments = true;
    options.allow_trailing_commas = true;
    json::stream_parser parser({}, options);
    json::error_code ec;
    const size_t parsed = parser.write_some(text.data(), text.size(), ec);
    if (!ec && !parser.done())
        return positionOf(text, parsed) + ": the JSON text is incomplete";
    if (!ec && text.find_first_not_of(" \t\r\n", parsed) != std::string_view::npos)
        return positionOf(text, text.find_first_not_of(" \t\r\n", parsed)) + ": text after the end of the JSON object";
    if (ec)
        return positionOf(text, parsed) + ": " + ec.message();
    m_value->root = parser.release();
    if (!m_value->root.is_object())
        return "line 1, column 1: expected a JSON object";
    return std::nullopt;
}

SettingsReader::SettingsReader(const SettingsDocument& document)
    : m_state(std::make_unique<State>())
{
    m_state->object = &document.m_value->root.get_object();
    m_state->message = &m_state->ownMessage;
}

SettingsReader::SettingsReader(std::unique_ptr<State> state)
    : m_state(std::move(state))
{
}

SettingsReader::~SettingsReader() = default;

bool SettingsReader::failed() const
{
    return !m_state->message->empty();
}

const std::string& SettingsReader::message() const
{
    return *m_state->message;
}

void SettingsReader::reportProblem(std::string_view key, const std::string& message)
{
    if (!failed())
        *m_state->message = "key '" + m_state->prefix + std::string(key) + "' " + message;
}

void SettingsReader::finish()
{
    for (const auto& member : *m_state->object) {
        if (!m_state->used.contains(std::string_view(member.key())))
            reportProblem(
                member.key(), "is not known; allowed: " + [&] {
                    std::string known;
                    for (const auto& key : m_state->used)
                        known += (known.empty() ? "" : ", ") + key;
                    return known;
                }());
    }
}

static const json::value* find(const json::object& object, std::string_view key)
{
    return object.if_contains(key);
}

void SettingsReader::text(std::string_view key, std::string& target, bool required)
{
    m_state->used.emplace(key);
    const auto* value = find(*m_state->object, key);
    if (!value) {
        if (required)
            reportProblem(key, "is missing; expected a string");
        return;
    }
    if (!value->is_string())
        return reportProblem(key, "has the wrong type; allowed: a string");
    target = std::string_view(value->get_string());
}

static bool isNameOrEmpty(std::string_view text)
{
    static constexpr std::string_view allowed = "abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ0123456789._-";
    return text.size() <= 64 && text.find_first_not_of(allowed) == std::string_view::npos;
}

void SettingsReader::names(std::string_view key, std::map<std::string, std::string, std::less<>>& target)
{
    m_state->used.emplace(key);
    const auto* value = find(*m_state->object, key);
    if (!value || value->is_null())
        return;
    if (!value->is_object())
        return reportProblem(key, "has the wrong type; allowed: an object of names");
    for (const auto& member : value->get_object()) {
        const std::string_view name(member.key());
        const std::string_view text = member.value().is_string() ? std::string_view(member.value().get_string()) : std::string_view {};
        if (name.empty() || text.empty() || !isNameOrEmpty(name) || !isNameOrEmpty(text))
            return reportProblem(key, "holds \"" + std::string(name) + "\": " + json::serialize(member.value()) + "; allowed: names of 1 to 64 letters, digits, '.', '_' or '-'");
        target.emplace(name, text);
    }
}

void SettingsReader::name(std::string_view key, std::string& target, bool required)
{
    text(key, target, required);
    if (!isNameOrEmpty(target))
        reportProblem(key, "is '" + target + "'; allowed: 1 to 64 letters, digits, '.', '_' or '-'");
}

void SettingsReader::digest(std::string_view key, std::string& target, bool required)
{
    text(key, target, required);
    if (!target.empty() && (target.size() != 64 || target.find_first_not_of("0123456789abcdef") != std::string::npos))
        reportProblem(key, "is not a SHA-256 digest; allowed: 64 lower-case hex digits");
}

void SettingsReader::boolean(std::string_view key, bool& target)
{
    m_state->used.emplace(key);
    const auto* value = find(*m_state->object, key);
    if (!value)
        return;
    if (!value->is_bool())
        return reportProblem(key, "has the wrong type; allowed: true or false");
    target = value->get_bool();
}

void SettingsReader::endpointText(std::string_view key, std::string& target, bool required)
{
    text(key, target, required);
    if (!target.empty() && !parseEndpoint(target))
        reportProblem(key, "is '" + target + "'; allowed: IP:PORT such as 127.0.0.1:8080");
}

void SettingsReader::endpoint(std::string_view key, Endpoint& target, bool required)
{
    std::string value;
    endpointText(key, value, required);
    if (const auto parsed = parseEndpoint(value))
        target = *parsed;
}

void SettingsReader::endpoints(std::string_view key, std::vector<Endpoint>& target)
{
    m_state->used.emplace(key);
    const auto* value = find(*m_state->object, key);
    if (!value)
        return;
    if (!value->is_array())
        return reportProblem(key, "has the wrong type; allowed: a list of IP:PORT");
    for (const auto& item : value->get_array()) {
        const auto parsed = item.is_string() ? parseEndpoint(std::string_view(item.get_string())) : std::nullopt;
        if (!parsed)
            return reportProblem(key, "holds " + json::serialize(item) + "; allowed: a list of IP:PORT");
        target.push_back(*parsed);
    }
}

std::optional<int64_t> SettingsReader::integerInRange(std::string_view key, int64_t low, int64_t high)
{
    m_state->used.emplace(key);
    const auto* value = find(*m_state->object, key);
    if (!value)
        return std::nullopt;
    const std::string range = "a whole number from " + std::to_string(low) + " to " + std::to_string(high);
    if (!value->is_int64()) {
        reportProblem(key, "has the wrong type; allowed: " + range);
        return std::nullopt;
    }
    const int64_t n = value->get_int64();
    if (n < low || n > high) {
        reportProblem(key, "is " + std::to_string(n) + "; allowed: " + range);
        return std::nullopt;
    }
    return n;
}

void SettingsReader::number(std::string_view key, double& target, double low, double high)
{
    m_state->used.emplace(key);
    const auto* value = find(*m_state->object, key);
    if (!value)
        return;
    if (!value->is_number())
        return reportProblem(key, "has the wrong type; allowed: a number");
    const double n = value->to_number<double>();
    if (n < low || n > high)
        return reportProblem(key, "is out of range; allowed: a number from " + std::to_string(low) + " to " + std::to_string(high));
    target = n;
}

void SettingsReader::duration(std::string_view key, TimeMs& target, int64_t low, int64_t high)
{
    if (const auto n = integerInRange(key, low, high))
        target = TimeMs { *n };
}

void SettingsReader::object(std::string_view key, const std::function<void(SettingsReader&)>& read)
{
    m_state->used.emplace(key);
    const auto* value = find(*m_state->object, key);
    if (!value)
        return;
    if (!value->is_object())
        return reportProblem(key, "has the wrong type; allowed: an object");
    auto state = std::make_unique<State>();
    state->object = &value->get_object();
    state->prefix = m_state->prefix + std::string(key) + ".";
    state->message = m_state->message;
    SettingsReader nested(std::move(state));
    read(nested);
    nested.finish();
}

void SettingsReader::list(std::string_view key, const std::function<void(SettingsReader&)>& read)
{
    m_state->used.emplace(key);
    const auto* value = find(*m_state->object, key);
    if (!value)
        return;
    if (!value->is_array())
        return reportProblem(key, "has the wrong type; allowed: a list of objects");
    int n = 0;
    for (const auto& item : value->get_array()) {
        const std::string itemKey = std::string(key) + "[" + std::to_string(n++) + "]";
        if (!item.is_object())
            return reportProblem(itemKey, "has the wrong type; allowed: an object");
        auto state = std::make_unique<State>();
        state->object = &item.get_object();
        state->prefix = m_state->prefix + itemKey + ".";
        state->message = m_state->message;
        SettingsReader nested(std::move(state));
        read(nested);
        nested.finish();
    }
}

}
