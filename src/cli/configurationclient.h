#pragma once

#include "citronpitch/configuration.h"
#include "cli/vmclient.h"

#include <nlohmann/json.hpp>

#include <string>
#include <vector>

namespace Citronpitch {

/// What became of a change that was sent.
struct SentChange
{
    std::string id;
    std::uint64_t basedOn = 0;
    /// Version that the change made.
    std::uint64_t version = 0;
};

/// Where a version is in force.
struct VersionSpread
{
    std::vector<std::string> inForce;
    /// Reachable VMs that work by an older version.
    std::vector<std::string> behind;
    /// VMs that are out of reach of the VM that was asked.
    std::vector<std::string> outOfReach;
};

/**
 * @brief Reads and changes the replicated configuration over the operators' interface.
 *
 * A change keeps one change id over all resends, so that an answer lost on the way can be asked for again.
 * Used by the commands on classes, teams and declarations.
 */
class ConfigurationClient
{
public:
    /// @p step names the command in errors.
    static boost::leaf::result<ConfigurationClient> create(const CliOptions &options, std::string step);

    /// The configuration in force at the VM that answers first.
    boost::leaf::result<Configuration> fetch() const;

    /// Body of the configuration's resource at @p path below it.
    boost::leaf::result<nlohmann::json> get(const std::string &path) const;

    /// Sends @p content, a change of the operators' interface, as a change of @p base; asks again until its
    /// outcome is known.
    boost::leaf::result<SentChange> send(const Configuration &base, const nlohmann::json &content) const;

    /// The change that already stands in the history under the change id of the options, or one with version
    /// zero.
    boost::leaf::result<SentChange> findEarlier() const;

    /// Waits until @p version is in force on every VM in reach, or the time is over.
    boost::leaf::result<VersionSpread> waitFor(std::uint64_t version) const;

private:
    ConfigurationClient(const CliOptions &options, std::string step, VmClient client);

    boost::leaf::result<SentChange> accepted(const VmReply &reply, const SentChange &sent) const;
    boost::leaf::result<VersionSpread> spreadOf(std::uint64_t version) const;

    CliOptions m_options;
    std::string m_step;
    VmClient m_client;
    /// The change id that the options give, or a new one.
    std::string m_changeId;
};

} // namespace Citronpitch
