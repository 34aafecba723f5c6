#include "base/Random.h"

#include <cmath>
#include <numbers>

namespace siskinshunt {

static uint64_t splitMix(uint64_t& state)
{
    uint64_t z = (state += 0x9e3779b97f4a7c15ULL);
    z = (z ^ (z >> 30)) * 0xbf58476d1ce4e5b9ULL;
    z = (z ^ (z >> 27)) * 0x94d049bb133111ebULL;
    return z ^ (z >> 31);
}

static uint64_t rotateLeft(uint64_t x, int k)
{
    return (x << k) | (x >> (64 - k));
}

Random::Random(uint64_t seed)
{
    for (auto& word : m_state)
        word = splitMix(seed);
}

uint64_t Random::next()
{
    const uint64_t out = rotateLeft(m_state[1] * 5, 7) * 9;
    const uint64_t t = m_state[1] << 17;
    m_state[2] ^= m_state[0];
    m_state[3] ^= m_state[1];
    m_state[1] ^= m_state[2];
    m_state[0] ^= m_state[3];
    m_state[2] ^= t;
    m_state[3] = rotateLeft(m_state[3], 45);
    return out;
}

uint64_t Random::below(uint64_t n)
{
    return n ? static_cast<uint64_t>((static_cast<unsigned __int128>(next()) * n) >> 64) : 0;
}

int64_t Random::between(int64_t low, int64_t high)
{
    return low + static_cast<int64_t>(below(static_cast<uint64_t>(high - low) + 1));
}

double Random::uniform()
{
    return static_cast<double>(next() >> 11) * 0x1.0p-53;
}

double Random::exponential(double mean)
{
    return -mean * std::log(1.0 - uniform());
}

double Random::normal(double mean, double deviation)
{
    const double radius = std::sqrt(-2.0 * std::log(1.0 - uniform()));
    return mean + deviation * radius * std::cos(2.0 * std::numbers::pi * uniform());
}

}
