#pragma once

#include "settings/Settings.h"

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace siskinshunt {

/// A parsed settings file; hides the JSON library from the headers.
class SettingsDocument {
public:
    SettingsDocument();
    ~SettingsDocument();
    SettingsDocument(const SettingsDocument&) = delete;
    SettingsDocument& operator=(const SettingsDocument&) = delete;

    /// Parses the text; returns "line L, column C: reason" if it is not a JSON object.
    std::optional<std::string> parse(std::string_view text);

private:
    friend class SettingsReader;
    struct Value;
    std::unique_ptr<Value> m_value;
};

/// Reads typed values of one JSON object and records the first problem: the key, the error and the allowed values.
class SettingsReader {
public:
    explicit SettingsReader(const SettingsDocument&);
    ~SettingsReader();
    SettingsReader(const SettingsReader&) = delete;
    SettingsReader& operator=(const SettingsReader&) = delete;

    void text(std::string_view key, std::string& target, bool required);
    void name(std::string_view key, std::string& target, bool required);
    /// An object whose keys and values are names. null counts as absent, so that a template can pass on a table that its source lacks.
    void names(std::string_view key, std::map<std::string, std::string, std::less<>>& target);
    void digest(std::string_view key, std::string& target, bool required);
    void boolean(std::string_view key, bool& target);
    void endpoint(std::string_view key, Endpoint& target, bool required);
    void endpointText(std::string_view key, std::string& target, bool required);
    void endpoints(std::string_view key, std::vector<Endpoint>& target);
    /// Integer or floating-point number.
    void number(std::string_view key, double& target, double low, double high);
    void duration(std::string_view key, TimeMs& target, int64_t low, int64_t high);
    void object(std::string_view key, const std::function<void(SettingsReader&)>& read);
    void list(std::string_view key, const std::function<void(SettingsReader&)>& read);

    template <class T>
    void integer(std::string_view key, T& target, int64_t low, int64_t high)
    {
        if (const auto n = integerInRange(key, low, high))
            target = static_cast<T>(*n);
    }

    template <class E>
    void enumeration(std::string_view key, E& target)
    {
        std::string value(nameOf(target));
        text(key, value, false);
        std::string allowed;
        for (const auto& it : enumNames<E>)
            allowed += (allowed.empty() ? "" : ", ") + std::string(it.name);
        if (const auto parsed = parseEnum<E>(value))
            target = *parsed;
        else
            reportProblem(key, "is '" + value + "'; allowed: " + allowed);
    }

    /// Reports unknown keys, which are those that have not been read.
    void finish();
    void reportProblem(std::string_view key, const std::string& message);
    bool failed() const;
    const std::string& message() const;

private:
    struct State;
    explicit SettingsReader(std::unique_ptr<State>);
    std::optional<int64_t> integerInRange(std::string_view key, int64_t low, int64_t high);

    std::unique_ptr<State> m_state;
};

}
