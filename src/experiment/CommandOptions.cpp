#include "experiment/CommandOptions.h"

#include "experiment/Commands.h"

#include <boost/program_options.hpp>
#include <charconv>
#include <iostream>

namespace siskinshunt {

namespace po = boost::program_options;

struct CommandOptions::State {
    std::string usage;
    std::string text;
    po::options_description visible { "options" };
    po::options_description hidden;
    po::positional_options_description positional;
    po::variables_map values;
};

CommandOptions::CommandOptions(std::string usage, std::string text)
    : m_state(std::make_unique<State>())
{
    m_state->usage = std::move(usage);
    m_state->text = std::move(text);
    m_state->visible.add_options()("help,h", "print this help");
}

CommandOptions::~CommandOptions() = default;

void CommandOptions::add(const std::string& name, const std::string& help)
{
    m_state->visible.add_options()(name.c_str(), po::value<std::string>(), help.c_str());
}

void CommandOptions::addDefault(const std::string& name, const std::string& help, const std::string& value)
{
    m_state->visible.add_options()(name.c_str(), po::value<std::string>()->default_value(value), help.c_str());
}

void CommandOptions::addMany(const std::string& name, const std::string& help)
{
    m_state->visible.add_options()(name.c_str(), po::value<std::vector<std::string>>()->multitoken(), help.c_str());
}

void CommandOptions::addFlag(const std::string& name, const std::string& help)
{
    m_state->visible.add_options()(name.c_str(), po::bool_switch(), help.c_str());
}

void CommandOptions::addPositional(const std::string& name, int atMost)
{
    m_state->hidden.add_options()(name.c_str(), po::value<std::vector<std::string>>());
    m_state->positional.add(name.c_str(), atMost);
}

std::optional<int> CommandOptions::parse(const std::vector<std::string>& arguments)
{
    try {
        po::options_description all;
        all.add(m_state->visible).add(m_state->hidden);
        po::store(po::command_line_parser(arguments).options(all).positional(m_state->positional).run(), m_state->values);
        po::notify(m_state->values);
    } catch (const po::error& error) {
        std::cerr << error.what() << "\nusage: " << m_state->usage << '\n';
        return exit_codes::usage;
    }
    if (!m_state->values.count("help"))
        return std::nullopt;
    std::cout << "usage: " << m_state->usage << "\n\n"
              << m_state->text << "\n\n"
              << m_state->visible
              << "\nexit codes: 0 ok; 1 negative result or failed check; 2 usage or input error; 3 the system cannot be reached\n";
    return exit_codes::ok;
}

bool CommandOptions::require(std::initializer_list<const char*> names) const
{
    for (const char* name : names) {
        if (has(name))
            continue;
        std::cerr << "--" << name << " is required\nusage: " << m_state->usage << '\n';
        return false;
    }
    return true;
}

bool CommandOptions::has(const std::string& name) const { return m_state->values.count(name) != 0; }

std::string CommandOptions::text(const std::string& name) const
{
    return has(name) ? m_state->values[name].as<std::string>() : std::string {};
}

std::vector<std::string> CommandOptions::many(const std::string& name) const
{
    return has(name) ? m_state->values[name].as<std::vector<std::string>>() : std::vector<std::string> {};
}

bool CommandOptions::flag(const std::string& name) const { return has(name) && m_state->values[name].as<bool>(); }

std::optional<int64_t> CommandOptions::number(const std::string& name, int64_t low, int64_t high) const
{
    const auto value = text(name);
    int64_t out = 0;
    const auto [end, ec] = std::from_chars(value.data(), value.data() + value.size(), out);
    if (ec == std::errc {} && end == value.data() + value.size() && out >= low && out <= high)
        return out;
    std::cerr << "--" << name << " must be an integer from " << low << " to " << high << '\n';
    return std::nullopt;
}

}
