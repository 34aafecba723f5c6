#pragma once

#include "base/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// The files of one data folder. Names are file names without a path. Every failure is an Error with code Io (NotFound for
/// a missing file) whose peer is the file name.
class Disk {
public:
    virtual ~Disk() = default;

    /// Appends to the file, creating it if needed. Durable only after sync() and, for a new file, syncDirectory().
    virtual Result<void> append(const std::string& name, std::string_view bytes) = 0;
    /// Makes the bytes of the file durable.
    virtual Result<void> sync(const std::string& name) = 0;
    /// Makes file creations, renames and removals durable.
    virtual Result<void> syncDirectory() = 0;
    virtual Result<std::string> read(const std::string& name) = 0;
    /// Names of all files, sorted.
    virtual Result<std::vector<std::string>> list() = 0;
    virtual Result<void> remove(const std::string& name) = 0;
    /// Replaces `to` if it exists.
    virtual Result<void> rename(const std::string& from, const std::string& to) = 0;
};

/// Replaces the file atomically by way of a temporary file: after a crash it has either the old or the new content. Durable
/// on return.
Result<void> replaceFile(Disk&, const std::string& name, std::string_view bytes);

}
