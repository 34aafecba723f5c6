#include "storage/Disk.h"

#include <algorithm>

namespace siskinshunt {

Result<void> replaceFile(Disk& disk, const std::string& name, std::string_view bytes)
{
    const std::string temporary = name + ".tmp";
    BOOST_LEAF_AUTO(names, disk.list());
    if (std::binary_search(names.begin(), names.end(), temporary))
        BOOST_LEAF_CHECK(disk.remove(temporary));
    BOOST_LEAF_CHECK(disk.append(temporary, bytes));
    BOOST_LEAF_CHECK(disk.sync(temporary));
    BOOST_LEAF_CHECK(disk.rename(temporary, name));
    return disk.syncDirectory();
}

}
