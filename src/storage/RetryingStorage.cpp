#include "storage/RetryingStorage.h"

#include <algorithm>

namespace siskinshunt {

// Recovery removes temporary files, so one that is left over does no harm.
static const std::string probeName = "probe.tmp";
static constexpr size_t probeBytes = 4096;

bool isDiskFull(const Error& error)
{
    return error.code == ErrorCode::Io && error.step == Step::Append;
}

Result<RetryingStorage> openRetryingStorage(Disk& disk, const StorageOptions& options)
{
    RetryingStorage out { .disk = &disk, .options = options, .storage = {} };
    BOOST_LEAF_ASSIGN(out.storage, Storage::open(disk, options));
    return out;
}

// Fails while the disk takes no bytes. Cheaper than a recovery, which reads the whole log.
static Result<void> probe(Disk& disk)
{
    BOOST_LEAF_AUTO(names, disk.list());
    if (std::binary_search(names.begin(), names.end(), probeName))
        BOOST_LEAF_CHECK(disk.remove(probeName));
    BOOST_LEAF_CHECK(disk.append(probeName, std::string(probeBytes, '\0')));
    return disk.remove(probeName);
}

static Result<void> recover(RetryingStorage& it, std::vector<LogRecord>& log)
{
    BOOST_LEAF_CHECK(probe(*it.disk));
    BOOST_LEAF_AUTO(storage, Storage::open(*it.disk, it.options));
    it.storage = std::move(storage);
    log = it.storage->log();
    return {};
}

WriteOutcome write(RetryingStorage& it, std::span<const DiskRequest> requests)
{
    WriteOutcome out;
    if (it.failed) {
        out.error = "an earlier write failed; restart the voter";
        return out;
    }
    return handle(
        [&]() -> Result<WriteOutcome> {
            if (it.full)
                BOOST_LEAF_CHECK(recover(it, out.log));
            BOOST_LEAF_ASSIGN(out.report, it.storage->write(requests));
            it.full = false;
            out.state = WriteState::Written;
            return out;
        },
        [&](const Error& error) {
            it.full = isDiskFull(error);
            it.failed = !it.full;
            out.state = it.full ? WriteState::Full : WriteState::Failed;
            out.error = toString(error);
            return out;
        });
}

}
