#include "net/curvekeypair.h"

#include "net/tokenfile.h"

#include <fcntl.h>
#include <unistd.h>
#include <zmq.h>

#include <array>

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

} // namespace

leaf::result<std::string> createCurveKeyFile(const std::string &path)
{
    KeyBuffer publicKey{};
    KeyBuffer secretKey{};
    if (zmq_curve_keypair(publicKey.data(), secretKey.data()) != 0)
        return keyError(path, "the ZeroMQ library was built without CURVE");
    const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, S_IRUSR | S_IWUSR);
    if (file < 0)
        return keyError(path, "can't create the file, or it exists already");
    const auto text = std::string(secretKey.data()) + "\n";
    const bool isWritten =
        ::write(file, text.data(), text.size()) == static_cast<ssize_t>(text.size()) && ::fsync(file) == 0;
    ::close(file);
    if (!isWritten)
        return keyError(path, "can't write the key");
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
