#pragma once

#include "base/Error.h"
#include "fleet/Upstream.h"

#include <string>
#include <string_view>

namespace siskinshunt {

/// Parses the body of POST /v1/announce; every member is checked. Fails with Invalid (step announce) and a sentence that
/// names the member and what is allowed.
Result<Announcement> parseAnnouncement(std::string_view body);

/// The same form, for tests and stand-ins.
std::string toJson(const Announcement&);

}
