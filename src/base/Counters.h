#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace siskinshunt {

/// Named counters of one thread, exported on the metrics endpoint.
class Counters {
public:
    void add(std::string_view name, uint64_t n = 1);
    uint64_t get(std::string_view name) const;
    const std::map<std::string, uint64_t, std::less<>>& all() const { return m_values; }

private:
    std::map<std::string, uint64_t, std::less<>> m_values;
};

}
