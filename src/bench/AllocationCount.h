#pragma once

#include <cstdint>

namespace siskinshunt {

/// Bytes that this thread has allocated by operator new less those that it has freed, as the heap rounds them up.
int64_t allocatedBytes();

}
