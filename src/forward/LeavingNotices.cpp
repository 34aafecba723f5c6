#include "forward/LeavingNotices.h"

#include <algorithm>

namespace siskinshunt {

bool recordNotice(LeavingNotices& notices, TimeMs now, const LeavingNotice& notice)
{
    auto& entry = notices.entries[notice.upstream];
    entry.recordedAt = now;
    if (entry.number && notice.incarnation <= entry.incarnation)
        return false;
    entry.incarnation = notice.incarnation;
    entry.number = ++notices.lastNumber;
    return true;
}

bool isNoticeRecorded(const LeavingNotices& notices, UpstreamId upstream, uint64_t incarnation)
{
    const auto it = notices.entries.find(upstream);
    return it != notices.entries.end() && incarnation <= it->second.incarnation;
}

NoticeRange noticesAfter(const LeavingNotices& notices, uint64_t number, size_t limit)
{
    std::vector<std::pair<uint64_t, LeavingNotice>> numbered;
    for (const auto& [upstream, entry] : notices.entries) {
        if (entry.number > number)
            numbered.emplace_back(entry.number, LeavingNotice { upstream, entry.incarnation });
    }
    std::sort(numbered.begin(), numbered.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
    if (numbered.size() > limit)
        numbered.resize(limit);
    NoticeRange range { {}, numbered.empty() ? number : numbered.back().first };
    for (const auto& [n, notice] : numbered)
        range.notices.push_back(notice);
    return range;
}

void expireNotices(LeavingNotices& notices, TimeMs now, TimeMs retention)
{
    std::erase_if(notices.entries, [&](const auto& it) { return now - it.second.recordedAt > retention; });
}

}
