#include "bench/BenchFolder.h"

#include "storage/FileDisk.h"

#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <unistd.h>

namespace siskinshunt {

BenchFolder::BenchFolder(const std::string& name)
{
    const char* base = std::getenv("TMPDIR");
    m_path = std::string(base ? base : "build") + "/siskinshunt-bench-" + name + "-" + std::to_string(::getpid());
    std::filesystem::remove_all(m_path);
    std::filesystem::create_directories(m_path);
}

BenchFolder::~BenchFolder()
{
    std::error_code ignored;
    std::filesystem::remove_all(m_path, ignored);
}

double measureSyncs(const std::string& folder, double seconds)
{
    return orThrow([&]() -> Result<double> {
        BOOST_LEAF_AUTO(disk, FileDisk::open(folder));
        const std::string block(512, 'b');
        const auto start = std::chrono::steady_clock::now();
        double elapsed = 0;
        double n = 0;
        for (; elapsed < seconds; ++n) {
            BOOST_LEAF_CHECK(disk->append("sync", block));
            BOOST_LEAF_CHECK(disk->sync("sync"));
            elapsed = std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
        }
        BOOST_LEAF_CHECK(disk->remove("sync"));
        return n / elapsed;
    });
}

}
