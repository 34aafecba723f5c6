#pragma once

#include "base/Error.h"

#include <stdexcept>
#include <string>

namespace siskinshunt {

/// A folder below TMPDIR, or below build/ without it, that is removed at the end.
class BenchFolder {
public:
    explicit BenchFolder(const std::string& name);
    ~BenchFolder();
    BenchFolder(const BenchFolder&) = delete;
    BenchFolder& operator=(const BenchFolder&) = delete;
    const std::string& path() const { return m_path; }

private:
    std::string m_path;
};

/// Runs the body, which returns a Result, and turns its error into std::runtime_error.
template <class Body>
auto orThrow(Body&& body)
{
    return handle(std::forward<Body>(body), [](const Error& error) -> decltype(body().value()) { throw std::runtime_error(toString(error)); });
}

/// Appends of 512 bytes, each with a sync, per second of one thread in this folder.
double measureSyncs(const std::string& folder, double seconds);

}
