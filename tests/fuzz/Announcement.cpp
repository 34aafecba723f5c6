#include "Fuzz.h"
#include "api/AnnouncementJson.h"

using namespace siskinshunt;

static std::string normalised(std::string_view body)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(announcement, parseAnnouncement(body));
            return toJson(announcement);
        },
        [](const Error&) { return std::string {}; });
}

// Guards against announcements that crash a node, or that it accepts and cannot pass on unchanged.
void fuzzOne(std::string_view input)
{
    const auto once = normalised(input);
    INVARIANT(once.empty() || normalised(once) == once, "an accepted announcement keeps its form", "once", once, "again", normalised(once));
}
