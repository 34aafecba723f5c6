#include "node/ViewTransfer.h"

#include "base/Compression.h"
#include "base/Hash.h"
#include "node/CatchUp.h"
#include "node/ControlFlow.h"
#include "node/Groups.h"
#include "node/Peers.h"
#include "node/StoredUpstreams.h"
#include "wire/Codec.h"

#include <algorithm>

namespace siskinshunt {

// Takes 26 ms on a link of 10 Mbit/s, so that other messages hardly wait for it.
static constexpr size_t viewPieceBytes = 32 << 10;
// A piece that has not arrived after this time is requested from another node.
static constexpr TimeMs pieceTimeout { 700 };
// Delay before the next source is asked when one has nothing newer.
static constexpr TimeMs sourceDelay { 100 };
// A voter that follows the log gets a new view from there and fetches it only if that takes longer.
static constexpr TimeMs logDelay { 1000 };
// After this many failed sources in a row, the node that has told of the view is asked, whatever its link.
static constexpr int failuresBeforeTeller = 2;
// Encoded views are kept for transfers in progress. A transfer that takes longer than the retention starts again.
static constexpr size_t maxEncodedViews = 6;
static constexpr TimeMs encodedViewRetention { 5000 };

static std::string nameOfMember(const Node& node, NodeId id)
{
    const Member* member = findMember(node.membership, id);
    return member ? member->identity.name : std::string {};
}

// Index of the newest view that this node has or is storing.
static uint64_t heldIndex(const Node& node)
{
    uint64_t index = node.view.index;
    if (node.viewBeingStored)
        index = std::max(index, node.viewBeingStored->index);
    if (node.viewToStore)
        index = std::max(index, node.viewToStore->index);
    return index;
}

static bool followsLog(const Node& node)
{
    const auto it = node.groups.find(decisionGroup);
    if (it == node.groups.end())
        return false;
    const auto state = status(*it->second.replica);
    return state.failure.empty() && state.leader && std::find(state.voters.begin(), state.voters.end(), node.options.voter) != state.voters.end();
}

static NodeId chooseSource(Node& node)
{
    auto& transfer = node.viewTransfer;
    if (transfer.failures >= failuresBeforeTeller && transfer.teller != transfer.failedSource) {
        transfer.failures = 0;
        return transfer.teller;
    }
    std::vector<NodeId> candidates;
    for (const auto& [id, member] : node.membership.members) {
        if (member.status.voter && id != transfer.failedSource && isAlive(node.membership, id))
            candidates.push_back(id);
    }
    if (candidates.empty())
        return transfer.teller;
    const bool tellerFits = std::find(candidates.begin(), candidates.end(), transfer.teller) != candidates.end();
    if (tellerFits && !transfer.failures)
        return transfer.teller;
    std::sort(candidates.begin(), candidates.end());
    return candidates[node.random.below(candidates.size())];
}

static void requestPiece(Node& node)
{
    const auto& transfer = node.viewTransfer;
    sendFrame(node, transfer.source, FrameKind::FetchView, {}, encode(FetchViewFrame { node.view.index, node.view.rules.revision, transfer.checksum, transfer.bytes.size() }));
}

static void startTransfer(Node& node)
{
    auto& transfer = node.viewTransfer;
    transfer.source = chooseSource(node);
    if (!transfer.source)
        return;
    transfer.lastProgressAt = node.now;
    addLog(node, LogLevel::Info, "view_requested", Step::Send, nameOfMember(node, transfer.source), "this node fetches a newer control view",
        { { "index", std::to_string(transfer.wanted) }, { "have", std::to_string(node.view.index) }, { "reason", transfer.reason }, { "received_bytes", std::to_string(transfer.bytes.size()) } });
    introduceTo(node, transfer.source);
    requestPiece(node);
}

// The bytes that have arrived are kept: another source of the same view goes on behind them.
static void abandonSource(Node& node, const char* reason, TimeMs delay)
{
    auto& transfer = node.viewTransfer;
    addLog(node, LogLevel::Info, "view_source_failed", Step::Receive, nameOfMember(node, transfer.source), reason, { { "index", std::to_string(transfer.wanted) }, { "received_bytes", std::to_string(transfer.bytes.size()) } });
    transfer.failedSource = std::exchange(transfer.source, {});
    ++transfer.failures;
    transfer.nextTry = node.now + delay;
}

static void forgetPieces(ViewTransferState& transfer)
{
    transfer.checksum = 0;
    transfer.totalBytes = 0;
    transfer.bytes.clear();
    transfer.bytes.shrink_to_fit();
}

void wantView(Node& node, NodeId teller, uint64_t index, const char* reason)
{
    auto& transfer = node.viewTransfer;
    if (index <= std::max(heldIndex(node), transfer.wanted) || teller == node.self)
        return;
    const bool isIdle = transfer.wanted <= heldIndex(node);
    transfer.wanted = index;
    transfer.teller = teller;
    transfer.reason = reason;
    if (!isIdle)
        return;
    transfer.failures = 0;
    transfer.failedSource = {};
    transfer.nextTry = node.now + (followsLog(node) ? logDelay : TimeMs {});
    if (!transfer.source && node.now >= transfer.nextTry)
        startTransfer(node);
}

void tickViewTransfer(Node& node)
{
    auto& transfer = node.viewTransfer;
    std::erase_if(transfer.encoded, [&](const auto& it) { return node.now - it.lastUsedAt > encodedViewRetention; });
    if (transfer.wanted <= heldIndex(node)) {
        transfer.source = {};
        return forgetPieces(transfer);
    }
    if (transfer.source && node.now - transfer.lastProgressAt > pieceTimeout)
        abandonSource(node, "no piece of the view has arrived in time", {});
    if (!transfer.source && node.now >= transfer.nextTry)
        startTransfer(node);
}

// A receiver that has the rules gets the view without their text.
static EncodedView& encodedView(Node& node, bool withRules)
{
    auto& encoded = node.viewTransfer.encoded;
    for (auto& it : encoded) {
        if (it.index == node.view.index && it.withRules == withRules)
            return it;
    }
    ControlView view = node.view;
    if (!withRules)
        view.rules.text.clear();
    EncodedView added { .index = view.index, .withRules = withRules, .bytes = compress(encode(view)), .checksum = 0, .lastUsedAt = {} };
    added.checksum = hash64(added.bytes, added.index);
    if (encoded.size() >= maxEncodedViews)
        encoded.erase(std::min_element(encoded.begin(), encoded.end(), [](const auto& a, const auto& b) { return a.lastUsedAt < b.lastUsedAt; }));
    encoded.push_back(std::move(added));
    return encoded.back();
}

void receiveFetchView(Node& node, NodeId from, std::string_view body)
{
    const auto frame = decodeOr<FetchViewFrame>(body, 64, FetchViewFrame { UINT64_MAX });
    // A node without a view sends by the first one that it gets. A voter that has just started with a stored view may lack an acknowledged
    // evacuation, which the view does not contain.
    const bool mayLackEvacuations = node.view.index == node.restoredViewIndex && !knowsEvacuations(node);
    if (frame.viewIndex >= node.view.index || (!frame.viewIndex && mayLackEvacuations))
        return sendFrame(node, from, FrameKind::ViewPiece, {}, encode(ViewPieceFrame { .index = node.view.index }));
    auto& encoded = node.viewTransfer.encoded;
    const auto known = std::find_if(encoded.begin(), encoded.end(), [&](const auto& it) { return it.checksum == frame.checksum; });
    EncodedView& view = known != encoded.end() ? *known : encodedView(node, frame.rulesRevision != node.view.rules.revision);
    view.lastUsedAt = node.now;
    const uint64_t offset = known != encoded.end() ? std::min<uint64_t>(frame.offset, view.bytes.size()) : 0;
    if (!offset)
        addLog(node, LogLevel::Info, "view_sent", Step::Send, nameOfMember(node, from), "another node gets the control view of this node",
            { { "index", std::to_string(view.index) }, { "has", std::to_string(frame.viewIndex) }, { "bytes", std::to_string(view.bytes.size()) } });
    if (!frame.viewIndex && !offset)
        sendEvacuations(node, from);
    sendFrame(node, from, FrameKind::ViewPiece, {}, encode(ViewPieceFrame { view.index, view.bytes.size(), view.checksum, offset, view.bytes.substr(offset, viewPieceBytes) }));
    // A node without a view has just started and also needs the upstreams; gossip would take seconds to send all of them.
    if (!frame.viewIndex && !offset)
        sendUpstreams(node, from);
}

static void finishTransfer(Node& node)
{
    auto& transfer = node.viewTransfer;
    const bool intact = hash64(transfer.bytes, transfer.index) == transfer.checksum;
    const auto encoded = intact ? decompress(transfer.bytes, maxViewBytes) : std::nullopt;
    auto view = encoded ? decodeOr<ControlView>(*encoded, maxViewBytes) : ControlView {};
    forgetPieces(transfer);
    if (view.index && view.rules.text.empty() && view.rules.revision == node.view.rules.revision)
        view.rules.text = node.view.rules.text;
    const bool complete = view.index && (view.rules.revision == 0 || !view.rules.text.empty());
    if (!complete) {
        countDrop(node, DropReason::BadBody);
        return abandonSource(node, "the view cannot be decoded", sourceDelay);
    }
    transfer.failures = 0;
    transfer.failedSource = {};
    acceptView(node, std::move(view));
    if (transfer.wanted <= heldIndex(node)) {
        transfer.source = {};
        return;
    }
    // A newer view has been announced meanwhile.
    transfer.lastProgressAt = node.now;
    requestPiece(node);
}

void receiveViewPiece(Node& node, NodeId from, std::string_view body)
{
    auto& transfer = node.viewTransfer;
    auto frame = decodeOr<ViewPieceFrame>(body, viewPieceBytes + 128);
    if (!frame.index || frame.totalBytes > maxViewBytes)
        return countDrop(node, DropReason::BadBody);
    // A late piece of a source that was abandoned.
    if (!transfer.source || from != transfer.source)
        return;
    if (!frame.totalBytes || frame.bytes.empty())
        return abandonSource(node, "the source has no newer view", sourceDelay);
    if (frame.checksum != transfer.checksum) {
        forgetPieces(transfer);
        transfer.index = frame.index;
        transfer.totalBytes = frame.totalBytes;
        transfer.checksum = frame.checksum;
    }
    if (frame.offset != transfer.bytes.size()) {
        if (!frame.offset || !transfer.bytes.empty())
            return;
        return requestPiece(node);
    }
    transfer.bytes += frame.bytes;
    transfer.lastProgressAt = node.now;
    if (transfer.bytes.size() < transfer.totalBytes)
        return requestPiece(node);
    finishTransfer(node);
}

}
