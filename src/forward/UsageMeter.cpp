#include "forward/UsageMeter.h"

namespace siskinshunt {

int64_t usageWindowAt(const UsageMeter& meter, TimeMs utc)
{
    return utc.value / meter.window.value;
}

void recordUsage(UsageMeter& meter, TimeMs utc, const std::string& account)
{
    ++meter.windows[usageWindowAt(meter, utc)][account];
}

void expireUsage(UsageMeter& meter, TimeMs utc)
{
    const int64_t oldest = usageWindowAt(meter, utc - meter.retention);
    meter.windows.erase(meter.windows.begin(), meter.windows.lower_bound(oldest));
}

}
