#pragma once

#include "citronpitch/steperror.h"

#include <boost/leaf.hpp>

#include <string>
#include <string_view>

namespace Citronpitch {

/// Minimum length of a token.
constexpr std::size_t minimumTokenBytes = 16;

/**
 * Reads a token from the first line of the file at @p path.
 *
 * Fails if the file is not a regular file, if group or others have any permission on it, or if the line is
 * shorter than minimumTokenBytes.
 */
boost::leaf::result<std::string> readTokenFile(const std::string &path);

/// Returns whether two strings are equal, in a time that does not depend on the position of a difference.
bool isEqualInConstantTime(std::string_view a, std::string_view b);

} // namespace Citronpitch
