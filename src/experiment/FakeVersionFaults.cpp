#include "experiment/FakeVersionFaults.h"

namespace siskinshunt {

bool FakeVersionFaults::set(const Json& order, TimeMs now)
{
    const auto mode = parseEnum<FaultMode>(order["mode"].asText());
    if (!mode || order["version"].asText().empty())
        return false;
    m_faults[std::string(order["version"].asText())] = {
        .mode = *mode,
        .from = now + TimeMs { order["after_ms"].asInt() },
        .underLoad = static_cast<uint32_t>(order["under_load"].asInt()),
        .path = std::string(order["path"].asText()),
        .rate = order["rate"].asDouble(1),
        .factor = order["factor"].asDouble(4),
    };
    return true;
}

FakeVersionFault FakeVersionFaults::find(const std::string& version, std::string_view path, uint32_t running, TimeMs now) const
{
    const auto it = m_faults.find(version);
    if (it == m_faults.end())
        return {};
    const auto& fault = it->second;
    const bool isActive = now >= fault.from && running >= fault.underLoad && path.starts_with(fault.path);
    return isActive ? fault : FakeVersionFault {};
}

}
