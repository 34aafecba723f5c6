#pragma once

#include "base/Random.h"
#include "experiment/HttpClient.h"
#include "experiment/Loop.h"

#include <functional>
#include <string>
#include <vector>

namespace siskinshunt {

/// Entry address discovery of a caller. It requests the entry addresses from a target, chooses one and caches it for its
/// validity time, as real callers do. A failed address is discarded immediately.
class EntryFinder {
public:
    EntryFinder(Loop&, std::vector<std::string> targets, std::string token, bool useEntries, uint64_t seed);

    /// Passes the address to use to the callback, immediately or after GET /v1/entries.
    void find(std::function<void(const std::string& address)>);
    /// Records that a connection to the address failed or was broken.
    void recordFailure(const std::string& address);

private:
    void requestEntries();
    void handleAnswer(const HttpAnswer&);
    void useAddress(const std::string& address, TimeMs valid);

    Loop& m_loop;
    std::vector<std::string> m_targets;
    std::string m_token;
    bool m_useEntries;
    Random m_random;
    size_t m_nextTarget;
    std::string m_address;
    TimeMs m_validUntil;
    std::string m_lastFailed;
    bool m_requesting = false;
    std::vector<std::function<void(const std::string&)>> m_waiting;
};

}
