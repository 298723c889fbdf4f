#pragma once

#include "citronpitch/steperror.h"

#include <boost/leaf.hpp>

#include <functional>
#include <string>
#include <unistd.h>

namespace Citronpitch {

/// CURVE key pair that authenticates an entry VM, in Z85 encoding.
struct CurveKeyPair
{
    std::string publicKey;
    std::string secretKey;
};

/**
 * Generates a key pair, writes the secret key to a new file at @p path with mode 0600 and returns the public
 * key.
 *
 * Fails if the file exists. It gets its name once its content is synced, and its name is synced before the
 * key is returned. An attempt that fails, or a process that ends before the file has its name, leaves nothing
 * that keeps the next attempt from succeeding. @p sync has the semantics of fsync().
 */
boost::leaf::result<std::string> createCurveKeyFile(const std::string &path,
                                                    const std::function<int(int descriptor)> &sync = ::fsync);

/// Reads the secret key from the file at @p path and derives the public key. Fails if group or others have
/// any permission on the file, or if it does not contain a CURVE secret key.
boost::leaf::result<CurveKeyPair> readCurveKeyFile(const std::string &path);

} // namespace Citronpitch
