#pragma once

#include <boost/leaf.hpp>

#include <filesystem>
#include <functional>

namespace Citronpitch {

/// Syncs the entries of @p folder by @p sync, which has the semantics of fsync(). The error is a StepError.
boost::leaf::result<void> syncFolder(const std::filesystem::path &folder,
                                     const std::function<int(int descriptor)> &sync);

} // namespace Citronpitch
