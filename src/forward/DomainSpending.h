#pragma once

#include "base/Ids.h"
#include "base/TimeMs.h"

#include <map>
#include <string>

namespace siskinshunt {

/// Spending of the other nodes of one failure domain, followed from the sums that hubs send. The hub of a domain changes when it is frozen, lost or
/// back again, and each hub has a sum of its own, which begins when nodes first report to it. Only what a sum grows by while its hub is heard counts,
/// so spending that was reported to another hub meanwhile is not counted twice. Old sums can arrive after newer ones: a hub that was frozen reads and
/// passes on what had been sent to it before.
struct DomainSpending {
    struct Sum {
        std::map<std::string, double> totals; ///< Highest ones that were received.
        TimeMs lowerSince; ///< Since when lower ones are received; 0 if the last ones were not lower.
        std::map<std::string, double> own; ///< Highest total of the receiving node that the sum includes.
        TimeMs heardAt;
    };

    std::map<NodeId, Sum> sums; ///< By hub.
    NodeId lastHub; ///< Whose sum was received last.
    TimeMs heardAt; ///< When a sum of any hub was last received.
    std::map<std::string, double> others; ///< Spending of the others by account, as far as it was heard; never decreases.
};

/// What a received sum means for the spending that is known.
enum class SumContinuity : uint8_t {
    Continued, ///< Its growth has been added.
    First, ///< The first one of the domain; what was spent before is not known.
    Rebased, ///< Of a hub whose former sum is too old, while another hub has reported. What was spent since `heardAt` has to be estimated.
};

/// Adds what the sum of a hub has grown by. `own`: totals of the receiving node that the sum includes; null if it is of another domain.
SumContinuity addDomainSum(DomainSpending&, TimeMs now, NodeId hub, const std::map<std::string, double>& totals, const std::map<std::string, double>* own);

}
