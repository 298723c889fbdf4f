#pragma once

#include "citronpitch/steperror.h"

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace Citronpitch {

/// Fewest bytes of a token.
constexpr std::size_t minimumTokenBytes = 16;

/**
 * Reads a token from the first line of the file at @p path.
 *
 * Fails where the file is not a regular file, may be read or written by others than its owner, or holds fewer
 * than minimumTokenBytes bytes.
 */
boost::leaf::result<std::string> readTokenFile(const std::string &path);

/// Whether two texts are equal; the time taken does not depend on where they differ.
bool isEqualInConstantTime(std::string_view a, std::string_view b);

} // namespace Citronpitch
