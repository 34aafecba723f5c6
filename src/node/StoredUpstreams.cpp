#include "node/StoredUpstreams.h"

#include "membership/Messages.h"
#include "node/Peers.h"
#include "wire/Codec.h"

#include <set>

namespace siskinshunt {

// Stored upstreams only speed up a restart, so they can be out of date by this interval.
static constexpr TimeMs storeInterval { 1000 };
static constexpr size_t maxStoredBytes = 8 << 20;
// Below the limit of 255 entries for a list in a table frame.
static constexpr size_t recordsPerFrame = 200;

namespace {

    struct StoredUpstreams {
        std::vector<Announcement> announced;
        std::vector<uint64_t> observed; ///< Ids of those that announced themselves to this node.

        template <class Archive>
        void serialize(Archive& archive) { archive(announced, observed); }
    };

}

void tickStoredUpstreams(Node& node)
{
    if (!node.options.voter || !node.upstreamsChanged || node.storingUpstreams || node.now < node.nextStoreUpstreams)
        return;
    node.upstreamsChanged = false;
    node.nextStoreUpstreams = node.now + storeInterval;
    StoredUpstreams stored;
    for (const auto& [id, upstream] : node.membership.upstreams.entries) {
        if (upstream.announced.leaving)
            continue;
        stored.announced.push_back(upstream.announced);
        if (upstream.local)
            stored.observed.push_back(id.value);
    }
    DiskRequest request { .id = ++node.upstreamsRequest, .group = upstreamsGroup, .hardState = {}, .snapshot = {}, .entries = {} };
    request.snapshot = Snapshot { .meta = { .index = static_cast<uint64_t>(node.now.value), .term = 1, .members = {} }, .bytes = std::make_shared<const std::string>(encode(stored)) };
    node.storingUpstreams = true;
    node.out.disk.push_back(std::move(request));
}

bool handleUpstreamsStored(Node& node, const DiskCompletion& completion)
{
    if (completion.group != upstreamsGroup)
        return false;
    node.storingUpstreams = false;
    if (!completion.ok)
        addLog(node, LogLevel::Warning, "upstreams_not_stored", Step::Sync, "disk", completion.error);
    return true;
}

void sendUpstreams(Node& node, NodeId to)
{
    const auto alive = [&node](NodeId id) { return isAlive(node.membership, id); };
    TableRecords records;
    size_t bytes = 0;
    const auto flush = [&] {
        if (!records.upstreams.empty())
            sendFrame(node, to, FrameKind::TableRecords, {}, encode(records));
        records.upstreams.clear();
        bytes = 0;
    };
    // Half of the frame limit, since the record sizes are only estimates.
    const size_t maxRecordBytes = node.membership.options.tableFrameLimit() / 2;
    for (const auto& [id, upstream] : node.membership.upstreams.entries) {
        const bool observed = isObserved(node.membership.upstreams, upstream, alive);
        if (!observed && (!upstream.restoredUntil || node.now > *upstream.restoredUntil))
            continue;
        auto record = observed ? recordOf(upstream, node.now) : restoredRecordOf(upstream, node.now, node.self);
        if (records.upstreams.size() >= recordsPerFrame || bytes + wireSize(record) > maxRecordBytes)
            flush();
        bytes += wireSize(record);
        records.upstreams.push_back(std::move(record));
    }
    flush();
}

void restoreUpstreams(Node& node)
{
    const auto it = node.options.recovered.find(upstreamsGroup);
    if (it == node.options.recovered.end() || !it->second.snapshot.meta.index)
        return;
    const auto stored = handle([&]() -> Result<StoredUpstreams> { return decode<StoredUpstreams>(*it->second.snapshot.bytes, maxStoredBytes, "stored upstreams"); },
        [&](const Error& error) {
            addLog(node, LogLevel::Warning, "upstreams_not_restored", Step::Recover, error.peer, error.detail);
            return StoredUpstreams {};
        });
    const std::set<uint64_t> observed(stored.observed.begin(), stored.observed.end());
    for (const auto& announced : stored.announced)
        restore(node.membership, node.now, announced, observed.contains(idOfName<UpstreamId>(announced.name).value), node.membershipOutputs);
    addLog(node, LogLevel::Info, "upstreams_restored", Step::Recover, {}, "restored the upstreams known before the restart", { { "upstreams", std::to_string(stored.announced.size()) } });
}

}
