#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

/// Options of one subcommand, over Boost.Program_options.
class CommandOptions {
public:
    CommandOptions(std::string usage, std::string text);
    ~CommandOptions();
    CommandOptions(const CommandOptions&) = delete;
    CommandOptions& operator=(const CommandOptions&) = delete;

    void add(const std::string& name, const std::string& help);
    void addDefault(const std::string& name, const std::string& help, const std::string& value);
    void addMany(const std::string& name, const std::string& help);
    void addFlag(const std::string& name, const std::string& help);
    /// Words without an option name, read by many(name).
    void addPositional(const std::string& name, int atMost);

    /// Parses; the exit code when the command ends here (help, usage error).
    std::optional<int> parse(const std::vector<std::string>& arguments);
    /// False, with a message, when one of the options is absent.
    bool require(std::initializer_list<const char*> names) const;

    bool has(const std::string& name) const;
    std::string text(const std::string& name) const;
    std::vector<std::string> many(const std::string& name) const;
    bool flag(const std::string& name) const;
    /// Non-negative number; none, with a message, when the text is not one in the range.
    std::optional<int64_t> number(const std::string& name, int64_t low, int64_t high) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
