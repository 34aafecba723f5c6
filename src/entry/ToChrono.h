#pragma once

#include "base/TimeMs.h"

#include <chrono>

namespace siskinshunt {

inline std::chrono::milliseconds toChrono(TimeMs time)
{
    return std::chrono::milliseconds(time.value);
}

}
