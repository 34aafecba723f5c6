#pragma once

#include "explain/Explain.h"
#include "node/NodeState.h"

namespace siskinshunt {

/// Adds a decision about these subjects, with the rule that caused it, to the ring buffer of the node.
void explain(Node&, DecisionCode, std::vector<DecisionSubject>, const RuleReference&, std::string text);
/// Adds a decision about a call; the rule is that of the call's route.
void explainCall(Node&, DecisionCode, const NodeCall&, std::string text);
RuleReference referenceTo(const RuleOrigin&);

/// GET /admin/explain?id=ID: collects the decisions about the id from all live nodes.
void answerExplain(Node&, const RequestArrived&);
void receiveExplain(Node&, NodeId from, std::string_view body);
void receiveExplainReply(Node&, NodeId from, std::string_view body);
/// Answers the queries whose reply timeout has expired with the records received so far.
void tickExplain(Node&);

}
