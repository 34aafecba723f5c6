#pragma once

#include "node/NodeState.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <optional>

namespace siskinshunt {

// Load as nodes report it to each other, shared by direct reports and hubs.

bool acceptsCallers(const Node&);
/// This node's load, with the parts it has placed since the last call.
ForwardLoadFrame collectOwnLoad(Node&);
ReportedLoad reportedLoad(UpstreamId, const TargetLoad&);
std::map<UpstreamId, TargetLoad> loadsOf(const std::vector<ReportedLoad>&);
/// Takes what a node or a hub has told of its load, as far as this node forwards or plans itself.
void handleLoadReport(Node&, NodeId from, const ForwardLoadFrame&);
/// Remembers where other nodes have placed prompt parts.
void recordPlacedParts(Node&, const std::vector<PlacedPart>&);

/// A report of load, or nothing and a log line where it does not decode.
template <class Frame>
std::optional<Frame> decodeLoad(Node& node, std::string_view body)
{
    return handle(
        [&]() -> Result<std::optional<Frame>> {
            BOOST_LEAF_AUTO(frame, decode<Frame>(body, maxForwardLoadBytes));
            return std::optional(std::move(frame));
        },
        [&](const Error& error) {
            addLog(node, LogLevel::Warning, "bad_load_report", Step::Decode, error.peer, error.detail);
            return std::optional<Frame> {};
        });
}

}
