#pragma once

#include "base/Invariant.h"

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstring>
#include <string>
#include <string_view>

/// Checks one input. Each fuzz program defines this function.
void fuzzOne(std::string_view input);

extern "C" int LLVMFuzzerTestOneInput(const uint8_t* data, size_t size)
{
    fuzzOne({ reinterpret_cast<const char*>(data), size });
    return 0;
}

namespace siskinshunt {

/// Reads small numbers and strings from the front of an input, so that mutated inputs yield well-formed commands. At the
/// end of the input it returns zeros.
class FuzzInput {
public:
    explicit FuzzInput(std::string_view bytes)
        : m_bytes(bytes)
    {
    }

    bool empty() const { return m_bytes.empty(); }

    uint8_t byte()
    {
        if (m_bytes.empty())
            return 0;
        const auto out = static_cast<uint8_t>(m_bytes.front());
        m_bytes.remove_prefix(1);
        return out;
    }

    uint32_t below(uint32_t bound) { return byte() % bound; }

    /// A number below 240 for most inputs, otherwise any 64-bit number.
    uint64_t number()
    {
        uint64_t out = byte();
        if (out < 240)
            return out;
        for (int n = 0; n < 8; ++n)
            out = out << 8 | byte();
        return out;
    }

    std::string text()
    {
        const size_t size = std::min<size_t>(below(16), m_bytes.size());
        std::string out(m_bytes.substr(0, size));
        m_bytes.remove_prefix(size);
        return out;
    }

    std::string_view rest() const { return m_bytes; }

private:
    std::string_view m_bytes;
};

}
