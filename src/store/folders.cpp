#include "store/folders.h"

#include "citronpitch/steperror.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace Citronpitch {

namespace leaf = boost::leaf;
namespace fs = std::filesystem;

namespace {

fs::path parentOf(const fs::path &path)
{
    return path.has_parent_path() ? path.parent_path() : fs::path(".");
}

} // namespace

leaf::result<void> syncParentFolder(const fs::path &path, const std::function<int(int)> &sync)
{
    const auto folder = parentOf(path);
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return leaf::new_error(StepError{"open data folder", folder, std::strerror(errno)});
    const int error = sync(descriptor) == 0 ? 0 : errno;
    ::close(descriptor);
    if (error != 0)
        return leaf::new_error(StepError{"sync data folder", folder, std::strerror(error)});
    return {};
}

leaf::result<void> createFolders(const fs::path &path, const std::function<int(int)> &sync)
{
    // A separator at the end would make the folder its own parent.
    const auto folder = path.has_filename() || !path.has_relative_path() ? path : path.parent_path();
    std::error_code ec;
    const bool isFound = fs::exists(folder, ec);
    if (!ec && isFound && !fs::is_directory(folder, ec) && !ec)
        ec = std::make_error_code(std::errc::not_a_directory);
    const bool isUsed = !ec && isFound && !fs::is_empty(folder, ec);
    if (!ec && !isFound) {
        BOOST_LEAF_CHECK(createFolders(parentOf(folder), sync));
        fs::create_directory(folder, ec);
    }
    if (ec)
        return leaf::new_error(StepError{"create data folder", folder, ec.message()});
    if (isUsed)
        return {};
    return syncParentFolder(folder, sync);
}

} // namespace Citronpitch
