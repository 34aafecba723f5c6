#pragma once

#include <cstdint>

namespace siskinshunt {

/// Bytes that this thread has allocated with operator new minus those that it has freed, including heap rounding.
int64_t allocatedBytes();

}
