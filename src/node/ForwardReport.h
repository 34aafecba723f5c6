#pragma once

#include "node/NodeState.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <optional>

namespace siskinshunt {

// Load reports between nodes; used by direct reports and by load hubs.

/// Whether this node listens for forwarded requests of callers.
bool acceptsCallers(const Node&);
/// Returns the load of this node with the prompt parts placed since the last call, and clears the list of these parts.
ForwardLoadFrame collectOwnLoad(Node&);
/// Whether the load that this node has placed on the target is reported to others.
bool isOwnLoadReported(const ForwardTarget&);
ReportedLoad reportedLoad(UpstreamId, const TargetLoad&);
std::map<UpstreamId, TargetLoad> loadsOf(const std::vector<ReportedLoad>&);
/// Applies a load report of a node or hub. Allowances and placed parts are applied only if this node accepts callers. Returns the
/// upstreams whose limits were news. `relay`: this node tells others what is news of crashes.
std::vector<UpstreamId> handleLoadReport(Node&, NodeId from, const ForwardLoadFrame&, bool relay);
/// Entry nodes that can send to upstreams. A suspect one counts, since it may still send; all nodes soon agree on who is draining.
std::vector<NodeId> sendingNodes(const Node&);
/// Applies the crashes and answers that another node has reported. `relay`: this node tells others what is news.
void applyReportedCrashes(Node&, const CrashReport&, bool relay);
/// Records which upstreams hold the prompt parts that other nodes have sent.
void recordPlacedParts(Node&, const std::vector<PlacedPart>&);

/// Decodes a load report; logs a warning and returns nothing if it is malformed.
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
