#include "Fuzz.h"
#include "base/Hash.h"
#include "storage/Batch.h"
#include "storage/SnapshotFile.h"

using namespace siskinshunt;

static void appendNumber(std::string& out, uint64_t value)
{
    for (int shift = 0; shift < 64; shift += 8)
        out.push_back(static_cast<char>(value >> shift));
}

/// Wraps the payload into a batch with valid checksums, so that its records are parsed.
static std::string batchOf(std::string_view payload)
{
    std::string out = encodeBatch({ 1, {} }).substr(0, 16);
    appendNumber(out, payload.size());
    appendNumber(out, hash64(out));
    out += payload;
    appendNumber(out, hash64(payload, 1));
    return out;
}

static std::string checksummed(std::string_view content)
{
    std::string out(content);
    appendNumber(out, hash64(content));
    return out;
}

static void readSnapshot(std::string_view bytes)
{
    handle(
        [&]() -> Result<int> {
            BOOST_LEAF_AUTO(file, decodeSnapshotFile("snapshot-1-1", bytes));
            INVARIANT(file.snapshot.bytes != nullptr, "a snapshot has content");
            return 0;
        },
        [](const Error&) { return 1; });
}

// Guards against log files and snapshot files that crash a node at startup instead of causing an error.
void fuzzOne(std::string_view input)
{
    readBatch(input, 0, 0);
    const auto read = readBatch(batchOf(input), 0, 1);
    if (read.state == BatchState::Valid)
        INVARIANT(readBatch(encodeBatch(read.batch), 0, 1).state == BatchState::Valid, "a batch that was read can be written");
    readSnapshot(input);
    readSnapshot(checksummed(input));
}
