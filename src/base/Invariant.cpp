#include "base/Invariant.h"

#include <cstdio>
#include <cstdlib>

namespace siskinshunt {

static InvariantHandler s_handler = nullptr;

void setInvariantHandler(InvariantHandler handler)
{
    s_handler = handler;
}

void invariantFailed(std::string_view what, const char* file, int line, const std::string& state)
{
    const std::string text = "invariant failed: " + std::string(what) + state + " at " + file + ":" + std::to_string(line);
    if (s_handler)
        s_handler(text);
    std::fprintf(stderr, "%s\n", text.c_str());
    std::abort();
}

}
