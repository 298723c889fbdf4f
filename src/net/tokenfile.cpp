#include "net/tokenfile.h"

#include <sys/stat.h>

#include <algorithm>
#include <fstream>

namespace Citronpitch {

namespace leaf = boost::leaf;

namespace {

leaf::error_id tokenError(const std::string &path, const char *detail)
{
    return leaf::new_error(StepError{"token file", path, detail});
}

} // namespace

leaf::result<std::string> readTokenFile(const std::string &path)
{
    struct stat status
    {
    };
    if (::stat(path.c_str(), &status) != 0 || !S_ISREG(status.st_mode))
        return tokenError(path, "not a readable regular file");
    if ((status.st_mode & (S_IRWXG | S_IRWXO)) != 0)
        return tokenError(path, "group or others have permissions on the file; run chmod 600");
    std::ifstream file(path);
    std::string token;
    std::getline(file, token);
    if (token.size() < minimumTokenBytes)
        return tokenError(path, "the token in the first line is too short");
    return std::string(token);
}

bool isEqualInConstantTime(std::string_view a, std::string_view b)
{
    unsigned difference = a.size() == b.size() ? 0 : 1;
    for (std::size_t i = 0; i < a.size(); ++i) {
        const unsigned char other = b.empty() ? 0 : static_cast<unsigned char>(b[i % b.size()]);
        difference |= static_cast<unsigned char>(a[i]) ^ other;
    }
    return difference == 0;
}

} // namespace Citronpitch
