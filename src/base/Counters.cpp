#include "base/Counters.h"

namespace siskinshunt {

void Counters::add(std::string_view name, uint64_t n)
{
    auto it = m_values.find(name);
    if (it == m_values.end())
        it = m_values.emplace(std::string(name), 0).first;
    it->second += n;
}

uint64_t Counters::get(std::string_view name) const
{
    auto it = m_values.find(name);
    return it == m_values.end() ? 0 : it->second;
}

}
