#pragma once

#include "experiment/Loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinshunt {

/// Chooses the two nodes to announce to: first the nodes in the last announce answer, then the configured ones. A node that
/// failed is tried only after all others for three seconds.
class AnnounceTargets {
public:
    explicit AnnounceTargets(std::vector<std::string> configured);

    std::vector<std::string> choose(TimeMs now) const;
    void setReportedNodes(std::vector<std::string> nodes);
    void recordSuccess(const std::string& node);
    void recordFailure(const std::string& node, TimeMs now);

private:
    std::vector<std::string> m_configured;
    std::vector<std::string> m_reportedNodes;
    std::map<std::string, TimeMs> m_failedAt;
};

/// Announces an upstream periodically, by default every second, until it is destroyed.
class Announcer {
public:
    /// `makeBody` returns the announcement. It is called once per round, so that both nodes receive the same announcement.
    Announcer(Loop&, std::vector<std::string> nodes, std::string token, std::function<std::string()> makeBody);
    ~Announcer();

    /// Announces immediately, for urgent changes such as a reclaim notice.
    void announceNow();
    /// Number of announcements that were accepted.
    uint64_t accepted() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
