#include "settings/Settings.h"
#include "Fuzz.h"

using namespace siskinshunt;

// Guards against settings that crash the daemon instead of causing an error message with the file and the key.
void fuzzOne(std::string_view input)
{
    handle(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(settings, parseSettings(input, "fuzz.json"));
            INVARIANT(!settings.node.empty() && settings.http.port != 0, "accepted settings have a node name and an address");
            return 0;
        },
        [](const Error& error) {
            INVARIANT(toString(error).find("fuzz.json") != std::string::npos, "the error names the file", "error", toString(error));
            return 1;
        });
}
