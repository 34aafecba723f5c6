#pragma once

#include "node/NodeState.h"

namespace siskinshunt {

/// Answers GET /admin/explain-route: where a request would go now, and why. Sends nothing and changes no state. The query names `host` and
/// `path`, and optionally `account`, `parts` ("HEX:TOKENS,HEX:TOKENS"), `prompt_tokens` and `output_tokens`.
void answerRouteExplanation(Node&, const RequestArrived&);

}
