#pragma once

#include "base/TimeMs.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace siskinshunt {

/// Limit of the retries for one backend over all nodes: a fraction of the requests plus a constant, in a sliding window.
struct RetryLimit {
    TimeMs window { 10000 };
    double ratio = 0.2; ///< Retries per request.
    double extra = 0; ///< Additional retries over all nodes.
};

/// Requests and retries of one node, in slices of the window.
struct RetryUsage {
    static constexpr size_t slices = 20;
    struct Slice {
        int64_t number = -1;
        uint32_t requests = 0;
        uint32_t retries = 0;
    };
    std::array<Slice, slices> ring {};
    TimeMs lastResumableAt; ///< When a stream that can be resumed was last sent for the first time; 0 if none was.
};

/// What a retry is for.
enum class RetryPurpose : uint8_t {
    Request, ///< A request of which the caller has no answer yet: it can be refused, and the caller told when to come back.
    Answer, ///< An answer that the caller already has in part: without a retry it is broken.
};

void recordFirstSend(RetryUsage&, const RetryLimit&, TimeMs now, bool canResume = false);
/// Returns whether one more retry is within this node's share of the limit, and counts it if so. A part of the share is
/// reserved for answers in progress while streams that can be resumed are being sent.
bool consumeRetry(RetryUsage&, const RetryLimit&, RetryPurpose, TimeMs now, size_t nodes);

}
