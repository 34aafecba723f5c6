#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// GET /metrics: counters and quantiles in the text exposition format, histograms per client account and class.
void answerMetrics(Node&, const RequestArrived&);

}
