#pragma once

#include "base/Error.h"
#include "fleet/Upstream.h"

#include <string>
#include <string_view>

namespace siskinshunt {

/// Parses and validates the body of POST /v1/announce. Fails with Invalid (step announce) and a message that names the
/// member and the allowed values.
Result<Announcement> parseAnnouncement(std::string_view body);

/// Serializes an announcement in the form that parseAnnouncement() reads, for tests and simulated upstreams.
std::string toJson(const Announcement&);

}
