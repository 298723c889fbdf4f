#pragma once

#include <boost/leaf.hpp>

#include <filesystem>
#include <functional>

namespace Citronpitch {

/// Syncs the entries of the folder that contains @p path by @p sync, which has the semantics of fsync(). The
/// error is a StepError that names the folder.
boost::leaf::result<void> syncParentFolder(const std::filesystem::path &path,
                                           const std::function<int(int descriptor)> &sync);

/**
 * Creates @p path and its missing parents, and syncs the entry of each folder that it creates, from the top.
 *
 * The entry of a folder that exists, but is empty, is synced, too: the process that created it may have ended
 * before. A folder whose entry can't be synced is left empty, so that the next call syncs it. The error is a
 * StepError that names the folder. @p sync has the semantics of fsync().
 */
boost::leaf::result<void> createFolders(const std::filesystem::path &path,
                                        const std::function<int(int descriptor)> &sync);

} // namespace Citronpitch
