#include "store/folders.h"

#include "citronpitch/steperror.h"

#include <cerrno>
#include <cstring>
#include <fcntl.h>
#include <unistd.h>

namespace Citronpitch {

namespace leaf = boost::leaf;
namespace fs = std::filesystem;

leaf::result<void> syncFolder(const fs::path &folder, const std::function<int(int)> &sync)
{
    const int descriptor = ::open(folder.c_str(), O_RDONLY | O_DIRECTORY | O_CLOEXEC);
    if (descriptor < 0)
        return leaf::new_error(StepError{"open data folder", folder, std::strerror(errno)});
    const int error = sync(descriptor) == 0 ? 0 : errno;
    ::close(descriptor);
    if (error != 0)
        return leaf::new_error(StepError{"sync data folder", folder, std::strerror(error)});
    return {};
}

} // namespace Citronpitch
