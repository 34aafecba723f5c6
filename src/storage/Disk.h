#pragma once

#include "base/Error.h"

#include <string>
#include <string_view>
#include <vector>

namespace siskinshunt {

/// The files of one data folder. Names are plain file names without a folder. Every failure is an Error with code Io
/// (NotFound for a missing file) whose peer is the file name.
class Disk {
public:
    virtual ~Disk() = default;

    /// Appends to the file and creates it if needed. Not durable before sync(), and for a new file syncDirectory().
    virtual Result<void> append(const std::string& name, std::string_view bytes) = 0;
    /// Makes the bytes of the file durable.
    virtual Result<void> sync(const std::string& name) = 0;
    /// Makes creations, renames and removals durable.
    virtual Result<void> syncDirectory() = 0;
    virtual Result<std::string> read(const std::string& name) = 0;
    /// Names of all files, sorted.
    virtual Result<std::vector<std::string>> list() = 0;
    virtual Result<void> remove(const std::string& name) = 0;
    /// Replaces `to` if it exists.
    virtual Result<void> rename(const std::string& from, const std::string& to) = 0;
};

/// Writes the file through a temporary file, so that a crash leaves either the old or the new content. Durable on
/// return.
Result<void> replaceFile(Disk&, const std::string& name, std::string_view bytes);

}
