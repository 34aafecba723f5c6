#pragma once

#include <cstdint>
#include <initializer_list>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace siskinshunt {

/// Command line options of a subcommand, based on Boost.Program_options.
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
    /// Adds positional arguments, which many(name) returns.
    void addPositional(const std::string& name, int atMost);

    /// Parses the arguments. Returns an exit code if the command ends here (help or usage error).
    std::optional<int> parse(const std::vector<std::string>& arguments);
    /// Prints a message and returns false if one of the options is missing.
    bool require(std::initializer_list<const char*> names) const;

    bool has(const std::string& name) const;
    std::string text(const std::string& name) const;
    std::vector<std::string> many(const std::string& name) const;
    bool flag(const std::string& name) const;
    /// Returns the value as a number. Prints a message and returns nothing if it is not an integer in the range.
    std::optional<int64_t> number(const std::string& name, int64_t low, int64_t high) const;

private:
    struct State;
    std::unique_ptr<State> m_state;
};

}
