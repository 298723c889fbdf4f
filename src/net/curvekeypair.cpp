#include "net/curvekeypair.h"

#include "net/tokenfile.h"
#include "store/folders.h"

#include <fcntl.h>
#include <unistd.h>
#include <zmq.h>

#include <array>
#include <cerrno>
#include <cstring>

namespace Citronpitch {

namespace leaf = boost::leaf;

namespace {

constexpr std::size_t keyTextBytes = 40;

/// Buffer for a Z85-encoded key with its terminating null.
using KeyBuffer = std::array<char, keyTextBytes + 1>;

leaf::error_id keyError(const std::string &path, std::string detail)
{
    return leaf::new_error(StepError{"key file", path, std::move(detail)});
}

leaf::error_id systemError(const std::string &path, const std::string &action)
{
    return keyError(path, action + ": " + std::strerror(errno));
}

/// Writes @p text to a new file; removes it if that fails.
leaf::result<void> writeSynced(const std::string &path, const std::string &text,
                               const std::function<int(int)> &sync)
{
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (file < 0)
        return systemError(path, "can't create the file");
    // A write that is cut short does not set errno.
    errno = ENOSPC;
    const bool isWritten =
        ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()) && sync(file) == 0;
    const int error = errno;
    ::close(file);
    if (isWritten)
        return {};
    ::unlink(path.c_str());
    return keyError(path, std::string("can't write the key: ") + std::strerror(error));
}

} // namespace

leaf::result<std::string> createCurveKeyFile(const std::string &path, const std::function<int(int)> &sync)
{
    KeyBuffer publicKey{};
    KeyBuffer secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
        return keyError(path, "the ZeroMQ library was built without CURVE");
    // An earlier attempt may have left a part of a key that nobody knows.
    const auto newPath = path + ".new";
    if (::unlink(newPath.c_str()) != 0 && errno != ENOENT)
        return systemError(newPath, "can't remove the file");
    BOOST_LEAF_CHECK(writeSynced(newPath, std::string(secretKey.data()) + "\n", sync));
    // Unlike rename(), link() fails if the file exists.
    const int error = ::link(newPath.c_str(), path.c_str()) == 0 ? 0 : errno;
    ::unlink(newPath.c_str());
    if (error == EEXIST)
        return keyError(path, "the file exists already; remove it to make another key");
    if (error != 0)
        return keyError(path, std::string("can't create the file: ") + std::strerror(error));
    auto synced = syncParentFolder(path, sync);
    if (!synced) {
        // If this fails, too, the next attempt reports that the file exists.
        ::unlink(path.c_str());
        return synced.error();
    }
    return std::string(publicKey.data());
}

leaf::result<CurveKeyPair> readCurveKeyFile(const std::string &path)
{
    BOOST_LEAF_AUTO(secretKey, readTokenFile(path));
    KeyBuffer publicKey{};
    if (secretKey.size() != keyTextBytes || zmq_curve_public(publicKey.data(), secretKey.c_str()) != 0)
        return keyError(path, "the file does not contain a CURVE secret key");
    return CurveKeyPair{publicKey.data(), secretKey};
}

} // namespace Citronpitch
