#include "storage/FileDisk.h"

#include <algorithm>
#include <cerrno>
#include <dirent.h>
#include <fcntl.h>
#include <sys/stat.h>
#include <system_error>
#include <unistd.h>

namespace siskinshunt {

static auto errnoError(Step step, const std::string& name, std::string_view call)
{
    const int code = errno;
    return fail(code == ENOENT ? ErrorCode::NotFound : ErrorCode::Io, step, name,
        std::string(call) + ": " + std::generic_category().message(code));
}

FileDisk::FileDisk(std::string folder, int fd)
    : m_folder(std::move(folder))
    , m_directoryFd(fd)
{
}

FileDisk::~FileDisk()
{
    for (const auto& [name, fd] : m_appendFds)
        ::close(fd);
    ::close(m_directoryFd);
}

Result<std::unique_ptr<FileDisk>> FileDisk::open(const std::string& folder)
{
    if (::mkdir(folder.c_str(), 0700) != 0 && errno != EEXIST)
        return errnoError(Step::Recover, folder, "mkdir");
    const int fd = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (fd < 0)
        return errnoError(Step::Recover, folder, "open");
    return std::unique_ptr<FileDisk>(new FileDisk(folder, fd));
}

Result<int> FileDisk::appendFd(const std::string& name)
{
    auto it = m_appendFds.find(name);
    if (it != m_appendFds.end())
        return it->second;
    const int fd = ::openat(m_directoryFd, name.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    if (fd < 0)
        return errnoError(Step::Append, name, "open");
    m_appendFds.emplace(name, fd);
    return fd;
}

void FileDisk::closeFile(const std::string& name)
{
    auto it = m_appendFds.find(name);
    if (it == m_appendFds.end())
        return;
    ::close(it->second);
    m_appendFds.erase(it);
}

Result<void> FileDisk::append(const std::string& name, std::string_view bytes)
{
    BOOST_LEAF_AUTO(fd, appendFd(name));
    while (!bytes.empty()) {
        const ssize_t n = ::write(fd, bytes.data(), bytes.size());
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0)
            return errnoError(Step::Append, name, "write");
        bytes.remove_prefix(static_cast<size_t>(n));
    }
    return {};
}

Result<void> FileDisk::sync(const std::string& name)
{
    BOOST_LEAF_AUTO(fd, appendFd(name));
    if (::fdatasync(fd) != 0)
        return errnoError(Step::Sync, name, "fdatasync");
    return {};
}

Result<void> FileDisk::syncDirectory()
{
    if (::fsync(m_directoryFd) != 0)
        return errnoError(Step::Sync, m_folder, "fsync");
    return {};
}

Result<std::string> FileDisk::read(const std::string& name)
{
    const int fd = ::openat(m_directoryFd, name.c_str(), O_RDONLY | O_CLOEXEC);
    if (fd < 0)
        return errnoError(Step::Recover, name, "open");
    std::string out;
    std::string buf(1 << 16, '\0');
    ssize_t n = 0;
    while ((n = ::read(fd, buf.data(), buf.size())) != 0) {
        if (n < 0 && errno == EINTR)
            continue;
        if (n < 0) {
            auto error = errnoError(Step::Recover, name, "read");
            ::close(fd);
            return error;
        }
        out.append(buf, 0, static_cast<size_t>(n));
    }
    ::close(fd);
    return out;
}

Result<std::vector<std::string>> FileDisk::list()
{
    DIR* folder = ::opendir(m_folder.c_str());
    if (!folder)
        return errnoError(Step::Recover, m_folder, "opendir");
    std::vector<std::string> names;
    while (const dirent* it = ::readdir(folder)) {
        const std::string name = it->d_name;
        if (name != "." && name != "..")
            names.push_back(name);
    }
    ::closedir(folder);
    std::sort(names.begin(), names.end());
    return names;
}

Result<void> FileDisk::remove(const std::string& name)
{
    closeFile(name);
    if (::unlinkat(m_directoryFd, name.c_str(), 0) != 0)
        return errnoError(Step::Append, name, "unlink");
    return {};
}

Result<void> FileDisk::rename(const std::string& from, const std::string& to)
{
    closeFile(from);
    closeFile(to);
    if (::renameat(m_directoryFd, from.c_str(), m_directoryFd, to.c_str()) != 0)
        return errnoError(Step::Append, from, "rename");
    return {};
}

}
