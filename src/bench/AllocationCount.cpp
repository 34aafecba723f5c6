#include "bench/AllocationCount.h"

#include <cstdlib>
#include <malloc.h>
#include <new>

namespace {

thread_local int64_t s_allocated = 0;

// malloc() stores a size field of 8 bytes with each block.
constexpr int64_t blockOverhead = 8;

}

namespace siskinshunt {

int64_t allocatedBytes()
{
    return s_allocated;
}

}

// Replaces operator new and delete, so that benchmarks can measure the memory of a data structure.
void* operator new(size_t size)
{
    void* block = std::malloc(size ? size : 1);
    if (!block)
        throw std::bad_alloc();
    s_allocated += static_cast<int64_t>(::malloc_usable_size(block)) + blockOverhead;
    return block;
}

void operator delete(void* block) noexcept
{
    if (block)
        s_allocated -= static_cast<int64_t>(::malloc_usable_size(block)) + blockOverhead;
    std::free(block);
}

void operator delete(void* block, size_t) noexcept
{
    operator delete(block);
}
