#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// GET /metrics: counters and gauges in the Prometheus text exposition format, with latency quantiles per client account and
/// class.
void answerMetrics(Node&, const RequestArrived&);

}
