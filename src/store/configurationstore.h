#pragma once

#include "citronpitch/configurationnode.h"
#include "citronpitch/steperror.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

namespace Citronpitch {

/// Told that everything up to a token is on the disk.
using RecordsSyncedCallback = std::function<void(std::uint64_t token)>;

/// Told once that the journal can't be written any more.
using StorageFailedCallback = std::function<void(const StepError &)>;

/**
 * @brief Journal of the replicated configuration, written and synced on a thread of its own.
 *
 * Everything that waits is written together and synced once. The hooks are called on the event loop. Used by
 * ConfigurationService.
 */
class ConfigurationStore
{
public:
    /// Opens the journal in @p dataFolder, or makes it; throws std::runtime_error where it is damaged or
    /// can't be opened. Without a folder nothing is kept, and everything counts as synced.
    ConfigurationStore(boost::asio::io_context &io, const std::string &dataFolder,
                       RecordsSyncedCallback synced, StorageFailedCallback failed);
    ~ConfigurationStore();
    ConfigurationStore(const ConfigurationStore &) = delete;
    ConfigurationStore &operator=(const ConfigurationStore &) = delete;

    /// Records that were in the journal when it was opened; may be called once.
    std::vector<std::string> takeRecovered();

    void write(const AppendRecords &append);
    void write(const ReplaceRecords &replace);

private:
    class Writer;

    std::vector<std::string> m_recovered;
    std::unique_ptr<Writer> m_writer;
};

} // namespace Citronpitch
