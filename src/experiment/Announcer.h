#pragma once

#include "experiment/Loop.h"

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace siskinshunt {

/// Chooses the two nodes to announce to: the nodes of the last announce answer first, then the configured ones. A node
/// that did not answer is passed over for three seconds while others are left.
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

/// Sends announcements of one upstream every second until it is destroyed.
class Announcer {
public:
    /// `makeBody` gives the announcement; it is called once for each round, and both nodes get the same one.
    Announcer(Loop&, std::vector<std::string> nodes, std::string token, std::function<std::string()> makeBody);
    ~Announcer();

    /// Announces out of turn, for news that must not wait.
    void announceNow();
    /// Announcements that a node has accepted.
    uint64_t accepted() const;

private:
    struct State;
    std::shared_ptr<State> m_state;
};

}
