#pragma once

#include "base/Error.h"

#include <stdexcept>
#include <string>

namespace siskinshunt {

/// Temporary folder in TMPDIR, or in build/ if that is not set. The destructor removes it.
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

/// Returns the value of the body's Result, or throws std::runtime_error with the text of its error.
template <class Body>
auto orThrow(Body&& body)
{
    return handle(std::forward<Body>(body), [](const Error& error) -> decltype(body().value()) { throw std::runtime_error(toString(error)); });
}

/// Measures how many 512 byte appends, each followed by a sync, one thread does per second in this folder.
double measureSyncs(const std::string& folder, double seconds);

}
