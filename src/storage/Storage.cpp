#include "storage/Storage.h"

#include "storage/SnapshotFile.h"

#include <algorithm>
#include <charconv>
#include <cstdio>

namespace siskinshunt {

static std::string segmentName(uint64_t number)
{
    char buf[32];
    std::snprintf(buf, sizeof(buf), "log-%012llu", static_cast<unsigned long long>(number));
    return buf;
}

static StoredRecord hardStateRecord(GroupId group, const HardState& hardState)
{
    return { .kind = RecordKind::HardState, .group = group, .hardState = hardState, .entry = {} };
}

static StoredRecord resetRecord(GroupId group, const SnapshotMeta& meta)
{
    StoredRecord record { .kind = RecordKind::Reset, .group = group, .hardState = {}, .entry = {} };
    record.entry.index = meta.index;
    record.entry.term = meta.term;
    return record;
}

Storage::Storage(Disk& disk, const StorageOptions& options)
    : m_disk(disk)
    , m_options(options)
{
}

Result<std::unique_ptr<Storage>> Storage::open(Disk& disk, const StorageOptions& options)
{
    std::unique_ptr<Storage> storage(new Storage(disk, options));
    BOOST_LEAF_CHECK(storage->recover());
    return storage;
}

Result<void> Storage::recover()
{
    BOOST_LEAF_AUTO(names, m_disk.list());
    std::vector<std::string> segments;
    for (const auto& name : names) {
        if (name.ends_with(".tmp"))
            BOOST_LEAF_CHECK(m_disk.remove(name));
        else if (name.starts_with("snapshot-"))
            BOOST_LEAF_CHECK(readSnapshot(name));
        else if (name.starts_with("log-"))
            segments.push_back(name);
    }
    for (const auto& name : segments)
        BOOST_LEAF_CHECK(readSegment(name, name == segments.back()));
    for (auto& [group, state] : m_recovered)
        BOOST_LEAF_CHECK(reconcileWithSnapshot(group, state));
    // If only the process crashed, the data just read may still be in the page cache only.
    if (!segments.empty())
        BOOST_LEAF_CHECK(m_disk.sync(segments.back()));
    return m_disk.syncDirectory();
}

Result<void> Storage::readSnapshot(const std::string& name)
{
    BOOST_LEAF_AUTO(bytes, m_disk.read(name));
    BOOST_LEAF_AUTO(file, decodeSnapshotFile(name, bytes));
    if (file.cluster != m_options.cluster)
        return fail(ErrorCode::Conflict, Step::Recover, name, "the snapshot belongs to another cluster");
    auto& current = m_recovered[file.group].snapshot;
    if (current.meta.index >= file.snapshot.meta.index)
        return m_disk.remove(name);
    if (current.meta.index)
        BOOST_LEAF_CHECK(m_disk.remove(snapshotFileName(file.group, current.meta.index)));
    current = file.snapshot;
    m_snapshots[file.group] = file.snapshot.meta;
    return {};
}

Result<void> Storage::readSegment(const std::string& name, bool last)
{
    BOOST_LEAF_AUTO(file, m_disk.read(name));
    Segment segment { .number = 0, .maxIndex = {} };
    const auto digits = std::string_view(name).substr(4);
    const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), segment.number);
    if (ec != std::errc {} || end != digits.data() + digits.size())
        return fail(ErrorCode::Corrupt, Step::Recover, name, "not the name of a log segment; move the file out of the data folder");
    for (size_t offset = 0; offset < file.size();) {
        const BatchReadResult read = readBatch(file, offset, m_sequence ? m_sequence + 1 : 0);
        if (read.state == BatchState::Corrupt || (read.state == BatchState::Torn && !last))
            return fail(ErrorCode::Corrupt, Step::Recover, name,
                "the log is damaged at byte " + std::to_string(offset) + "; this voter must be replaced");
        if (read.state == BatchState::Torn) {
            BOOST_LEAF_CHECK(truncateTornTail(name, file, offset));
            break;
        }
        for (const auto& record : read.batch.records)
            BOOST_LEAF_CHECK(replay(record, segment));
        m_sequence = read.batch.sequence;
        offset += read.size;
    }
    m_segments.push_back(std::move(segment));
    return {};
}

Result<void> Storage::truncateTornTail(const std::string& name, std::string_view file, size_t offset)
{
    m_log.push_back({ LogLevel::Warning, "torn_tail_cut", Step::Recover, name,
        "truncated an incomplete write at the end of the log",
        { { "offset", std::to_string(offset) }, { "bytes", std::to_string(file.size() - offset) } } });
    return replaceFile(m_disk, name, file.substr(0, offset));
}

Result<void> Storage::replay(const StoredRecord& record, Segment& segment)
{
    auto& state = m_recovered[record.group];
    if (record.kind == RecordKind::HardState) {
        state.hardState = m_hardStates[record.group] = record.hardState;
        return {};
    }
    auto& entries = state.entries;
    const uint64_t index = record.entry.index;
    auto& maxIndex = segment.maxIndex[record.group];
    maxIndex = std::max(maxIndex, index);
    if (record.kind == RecordKind::Reset) {
        entries.clear();
        return {};
    }
    if (!entries.empty() && index <= entries.front().index)
        entries.clear();
    else if (!entries.empty() && index <= entries.back().index)
        entries.resize(index - entries.front().index);
    if (!entries.empty() && index != entries.back().index + 1)
        return fail(ErrorCode::Corrupt, Step::Recover, segmentName(segment.number),
            "entry " + std::to_string(index) + " follows entry " + std::to_string(entries.back().index));
    entries.push_back(record.entry);
    return {};
}

Result<void> Storage::reconcileWithSnapshot(GroupId group, GroupState& state)
{
    const auto& meta = state.snapshot.meta;
    auto& entries = state.entries;
    if (!entries.empty() && entries.front().index > meta.index + 1)
        return fail(ErrorCode::Corrupt, Step::Recover, "group " + std::to_string(group.value),
            "entries " + std::to_string(meta.index + 1) + " to " + std::to_string(entries.front().index - 1) + " are missing");
    const bool coversSnapshot = !entries.empty() && entries.front().index <= meta.index && meta.index <= entries.back().index;
    const bool termDiffers = coversSnapshot && entries[meta.index - entries.front().index].term != meta.term;
    if (termDiffers || (!entries.empty() && entries.back().index < meta.index)) {
        entries.clear();
        m_pendingResets.insert(group);
    } else if (coversSnapshot) {
        entries.erase(entries.begin(), entries.begin() + static_cast<ptrdiff_t>(meta.index - entries.front().index + 1));
    }
    return {};
}

Result<WriteReport> Storage::write(std::span<const DiskRequest> requests)
{
    if (m_failed)
        return fail(ErrorCode::Io, Step::Append, "log", "an earlier write failed; restart the voter");
    m_failed = true;
    WriteReport report;
    BOOST_LEAF_CHECK(writeSnapshots(requests));
    BOOST_LEAF_CHECK(writeBatch(requests, report));
    BOOST_LEAF_CHECK(removeSupersededSegments());
    report.segments = m_segments.size();
    if (m_segments.size() > m_options.maxSegments) {
        for (const auto& [group, index] : m_segments.front().maxIndex) {
            if (index > m_snapshots[group].index)
                report.pinning.push_back(group);
        }
    }
    m_failed = false;
    return report;
}

Result<void> Storage::writeSnapshots(std::span<const DiskRequest> requests)
{
    for (const auto& request : requests) {
        if (!request.snapshot)
            continue;
        const auto& meta = request.snapshot->meta;
        const std::string name = snapshotFileName(request.group, meta.index);
        BOOST_LEAF_CHECK(replaceFile(m_disk, name, encodeSnapshotFile({ m_options.cluster, request.group, *request.snapshot })));
        auto& previous = m_snapshots[request.group];
        if (previous.index && previous.index != meta.index)
            BOOST_LEAF_CHECK(m_disk.remove(snapshotFileName(request.group, previous.index)));
        previous = meta;
    }
    return {};
}

static void appendRecords(Batch& batch, const DiskRequest& request)
{
    if (request.hardState)
        batch.records.push_back(hardStateRecord(request.group, *request.hardState));
    if (request.snapshot && request.discardLog)
        batch.records.push_back(resetRecord(request.group, request.snapshot->meta));
    for (const auto& entry : request.entries)
        batch.records.push_back({ .kind = RecordKind::Entry, .group = request.group, .hardState = {}, .entry = entry });
}

Batch Storage::makeBatch(std::span<const DiskRequest> requests, bool newSegment) const
{
    Batch batch { .sequence = m_sequence + 1, .records = {} };
    if (newSegment) {
        for (const auto& [group, hardState] : m_hardStates)
            batch.records.push_back(hardStateRecord(group, hardState));
    }
    // The first segment after a start records the resets that recovery applied to groups.
    for (GroupId group : m_pendingResets) {
        if (!m_segmentOpen)
            batch.records.push_back(resetRecord(group, m_snapshots.at(group)));
    }
    for (const auto& request : requests)
        appendRecords(batch, request);
    return batch;
}

Result<void> Storage::writeBatch(std::span<const DiskRequest> requests, WriteReport& report)
{
    const bool newSegment = !m_segmentOpen || m_segmentSize > m_options.segmentBytes;
    const Batch batch = makeBatch(requests, newSegment);
    // A snapshot without records is already durable. The first write after a start always starts a segment that contains
    // all hard states, so that older segments can be removed.
    if (m_segmentOpen && batch.records.empty())
        return {};
    if (newSegment) {
        m_segments.push_back({ .number = m_segments.empty() ? 1 : m_segments.back().number + 1, .maxIndex = {} });
        m_segmentSize = 0;
    }
    auto& segment = m_segments.back();
    const std::string bytes = encodeBatch(batch);
    BOOST_LEAF_CHECK(m_disk.append(segmentName(segment.number), bytes));
    BOOST_LEAF_CHECK(m_disk.sync(segmentName(segment.number)));
    if (newSegment)
        BOOST_LEAF_CHECK(m_disk.syncDirectory());
    m_segmentOpen = true;
    m_sequence = batch.sequence;
    m_segmentSize += bytes.size();
    report.bytes = bytes.size();
    for (const auto& record : batch.records) {
        if (record.kind == RecordKind::HardState)
            m_hardStates[record.group] = record.hardState;
        else
            segment.maxIndex[record.group] = std::max(segment.maxIndex[record.group], record.entry.index);
    }
    return {};
}

bool Storage::isSuperseded(const Segment& segment) const
{
    return std::all_of(segment.maxIndex.begin(), segment.maxIndex.end(), [&](const auto& it) {
        auto snapshot = m_snapshots.find(it.first);
        return snapshot != m_snapshots.end() && it.second <= snapshot->second.index;
    });
}

Result<void> Storage::removeSupersededSegments()
{
    while (m_segments.size() > 1 && isSuperseded(m_segments.front())) {
        BOOST_LEAF_CHECK(m_disk.remove(segmentName(m_segments.front().number)));
        // Without this sync, a crash could undo this removal but not a later one, which would leave a gap in the log.
        BOOST_LEAF_CHECK(m_disk.syncDirectory());
        m_segments.erase(m_segments.begin());
    }
    return {};
}

}
