#pragma once

#include "citronpitch/steperror.h"

#include <boost/leaf.hpp>

#include <string>

namespace Citronpitch {

/// The key pair with which an entry VM proves itself, as Z85 text.
struct CurveKeyPair
{
    std::string publicKey;
    std::string secretKey;
};

/// Makes a new secret key in a new file at @p path, readable by its owner alone. Returns the public key.
/// Fails where a file is there already.
boost::leaf::result<std::string> createCurveKeyFile(const std::string &path);

/// Reads the secret key in the file at @p path and derives its public key. Fails where others than its owner
/// have rights to the file.
boost::leaf::result<CurveKeyPair> readCurveKeyFile(const std::string &path);

} // namespace Citronpitch
