#pragma once

#include "storage/Disk.h"

#include <map>
#include <memory>

namespace siskinshunt {

/// Disk implemented by POSIX files in one directory. Not thread-safe.
class FileDisk final : public Disk {
public:
    /// Opens the folder, creating it if it is missing. Its parent has to exist.
    static Result<std::unique_ptr<FileDisk>> open(const std::string& folder);
    ~FileDisk() override;
    FileDisk(const FileDisk&) = delete;
    FileDisk& operator=(const FileDisk&) = delete;

    Result<void> append(const std::string& name, std::string_view bytes) override;
    Result<void> sync(const std::string& name) override;
    Result<void> syncDirectory() override;
    Result<std::string> read(const std::string& name) override;
    Result<std::vector<std::string>> list() override;
    Result<void> remove(const std::string& name) override;
    Result<void> rename(const std::string& from, const std::string& to) override;

private:
    FileDisk(std::string folder, int fd);
    Result<int> appendFd(const std::string& name);
    void closeFile(const std::string& name);

    std::string m_folder;
    int m_directoryFd;
    std::map<std::string, int> m_appendFds; ///< Descriptors open for appending, by file name.
};

}
