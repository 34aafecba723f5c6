#pragma once

#include "explain/Explain.h"
#include "node/NodeState.h"

namespace siskinshunt {

/// Keeps a decision about these subjects in the node's ring, with the rule behind it.
void explain(Node&, DecisionCode, std::vector<DecisionSubject>, const RuleReference&, std::string text);
/// The same for a decision about a call; the rule is that of its route.
void explainCall(Node&, DecisionCode, const NodeCall&, std::string text);
RuleReference referenceTo(const RuleOrigin&);

/// GET /admin/explain?id=ID: gathers the decisions about the id from all live nodes.
void answerExplain(Node&, const RequestArrived&);
void receiveExplain(Node&, NodeId from, std::string_view body);
void receiveExplainReply(Node&, NodeId from, std::string_view body);
/// Answers the queries that have waited long enough for silent nodes.
void tickExplain(Node&);

}
