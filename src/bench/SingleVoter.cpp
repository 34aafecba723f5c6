#include "bench/SingleVoter.h"

namespace siskinshunt {

Result<std::unique_ptr<SingleVoter>> openSingleVoter(const std::string& folder, StateMachine machine, const ReplicaOptions& options)
{
    auto voter = std::make_unique<SingleVoter>();
    BOOST_LEAF_ASSIGN(voter->disk, FileDisk::open(folder));
    BOOST_LEAF_ASSIGN(voter->storage, Storage::open(*voter->disk, { .cluster = options.cluster }));
    auto recovered = voter->storage->takeRecovered();
    BOOST_LEAF_ASSIGN(voter->replica, openReplica(options, std::move(machine), std::move(recovered[options.group]), 0_ms));
    return voter;
}

Result<void> bootstrapGroup(SingleVoter& voter)
{
    BOOST_LEAF_CHECK(bootstrap(*voter.replica, { status(*voter.replica).self }));
    BOOST_LEAF_CHECK(runWrites(voter));
    tick(*voter.replica, 2000_ms);
    BOOST_LEAF_CHECK(runWrites(voter));
    return {};
}

Result<size_t> runWrites(SingleVoter& voter)
{
    size_t applied = 0;
    for (;;) {
        const ReplicaOutputs out = collectOutputs(*voter.replica);
        for (const auto& it : out.outcomes)
            applied += it.status == ProposalStatus::Applied;
        if (out.disk.empty())
            return applied;
        BOOST_LEAF_CHECK(voter.storage->write(out.disk));
        diskCompleted(*voter.replica, out.disk.front().id, true);
    }
}

}
