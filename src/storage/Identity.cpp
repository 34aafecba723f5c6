#include "storage/Identity.h"

#include "base/Hash.h"

#include <algorithm>
#include <sstream>

namespace siskinshunt {

static const std::string fileName = "identity";

static std::string identityText(const Identity& identity)
{
    std::ostringstream out;
    out << "siskinshunt-identity 1\ncluster " << identity.cluster << "\nnode " << identity.node << "\nvoter "
        << identity.voter.value << '\n';
    return out.str();
}

static std::string encode(const Identity& identity)
{
    const std::string text = identityText(identity);
    return text + "checksum " + std::to_string(hash64(text)) + '\n';
}

static Result<Identity> decode(const std::string& text)
{
    std::istringstream in(text);
    std::string magic;
    std::string version;
    std::string key;
    Identity identity;
    in >> magic >> version >> key >> identity.cluster >> key >> identity.node >> key >> identity.voter.value;
    if (!in || encode(identity) != text)
        return fail(ErrorCode::Corrupt, Step::Recover, fileName, "the identity file is damaged; replace this voter");
    return identity;
}

static Result<Identity> create(Disk& disk, const Identity& wanted, bool hasLog)
{
    if (hasLog)
        return fail(ErrorCode::Corrupt, Step::Recover, fileName,
            "the data folder holds log files but no identity file; restore the file or empty the folder");
    const bool isValid = !wanted.cluster.empty() && !wanted.node.empty() && wanted.voter
        && std::none_of(wanted.cluster.begin(), wanted.cluster.end(), [](unsigned char c) { return c <= ' '; })
        && std::none_of(wanted.node.begin(), wanted.node.end(), [](unsigned char c) { return c <= ' '; });
    if (!isValid)
        return fail(ErrorCode::Invalid, Step::Recover, fileName, "cluster id, node name and voter id must be given, without spaces");
    BOOST_LEAF_CHECK(replaceFile(disk, fileName, encode(wanted)));
    return wanted;
}

Result<Identity> openIdentity(Disk& disk, const Identity& wanted)
{
    BOOST_LEAF_AUTO(names, disk.list());
    if (!std::binary_search(names.begin(), names.end(), fileName)) {
        const bool hasLog = std::any_of(names.begin(), names.end(), [](const auto& it) { return it.starts_with("log-") || it.starts_with("snapshot-"); });
        return create(disk, wanted, hasLog);
    }
    BOOST_LEAF_AUTO(text, disk.read(fileName));
    BOOST_LEAF_AUTO(stored, decode(text));
    if (stored.cluster != wanted.cluster)
        return fail(ErrorCode::Conflict, Step::Recover, fileName,
            "the data folder belongs to cluster " + stored.cluster + ", the settings name cluster " + wanted.cluster);
    if (stored.node != wanted.node)
        return fail(ErrorCode::Conflict, Step::Recover, fileName,
            "the data folder belongs to node " + stored.node + ", the settings name node " + wanted.node);
    return stored;
}

}
