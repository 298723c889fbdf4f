#pragma once

#include "citronpitch/configurationnode.h"
#include "citronpitch/steperror.h"
#include "store/journal.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace Citronpitch {

/// Called when all records up to a token are on the disk.
using RecordsSyncedCallback = std::function<void(std::uint64_t token)>;

/// Called once, when the journal can't be written any more.
using StorageFailedCallback = std::function<void(const StepError &)>;

/**
 * @brief Persists the replicated configuration in a journal that a separate thread writes and syncs.
 *
 * All queued requests are written in one batch with one sync. The callbacks run on the event loop. Used by
 * ConfigurationService and FleetMember.
 */
class ConfigurationStore
{
public:
    /// Opens or creates the journal in @p dataFolder, which waits for the disk. If the disk refuses writes,
    /// JournalSummary::failure is set, and nothing may be written. Throws std::runtime_error if it is damaged
    /// or can't be opened. If @p dataFolder is empty, nothing is persisted and all requests are reported as
    /// synced.
    ConfigurationStore(boost::asio::io_context &io, const std::string &dataFolder,
                       RecordsSyncedCallback synced, StorageFailedCallback failed);
    /// Reads the records in @p dataFolder without changing anything; they may not survive a power loss.
    /// Throws std::runtime_error if the journal is damaged or can't be read.
    static std::vector<std::string> peek(const std::string &dataFolder);

    ~ConfigurationStore();
    ConfigurationStore(const ConfigurationStore &) = delete;
    ConfigurationStore &operator=(const ConfigurationStore &) = delete;

    /// Records found in the journal when it was opened; may be called once.
    std::vector<std::string> takeRecovered();

    /// What was found in the journal; empty without a data folder.
    const std::optional<JournalSummary> &summary() const;

    void write(const AppendRecords &append);
    void write(const ReplaceRecords &replace);

private:
    class Writer;

    std::vector<std::string> m_recovered;
    std::optional<JournalSummary> m_summary;
    std::unique_ptr<Writer> m_writer;
};

} // namespace Citronpitch
