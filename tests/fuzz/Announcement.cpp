#include "Fuzz.h"
#include "api/AnnouncementJson.h"

using namespace siskinshunt;

static std::string normalize(std::string_view body)
{
    return handle(
        [&]() -> Result<std::string> {
            BOOST_LEAF_AUTO(announcement, parseAnnouncement(body));
            return toJson(announcement);
        },
        [](const Error&) { return std::string {}; });
}

// Guards against announcements that crash a node, and against accepted ones that change when they are forwarded.
void fuzzOne(std::string_view input)
{
    const auto once = normalize(input);
    INVARIANT(once.empty() || normalize(once) == once, "an accepted announcement keeps its form", "once", once, "again", normalize(once));
}
