#pragma once

#include "cli/clierror.h"
#include "cli/clioptions.h"
#include "net/httpclient.h"

#include <boost/leaf.hpp>

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace Citronpitch {

/// Which port of an entry VM a command speaks to.
enum class VmPort { Callers, Control };

/// What an entry VM answered.
struct VmReply
{
    /// Address and port of the entry VM.
    std::string peer;
    HttpResponse response;
};

/**
 * @brief Asks entry VMs over HTTP, one after the other, until one answers.
 *
 * Every request given to ask() must be safe to send again: reads, submissions with a key, and changes with a
 * change id. Used by the commands.
 */
class VmClient
{
public:
    /// Fails where the token file that @p options name can't be used.
    static boost::leaf::result<VmClient> create(const CliOptions &options, VmPort port, std::string step);

    /// Sends @p request to the VMs in order, and over again until one answers or the time is over.
    boost::leaf::result<VmReply> ask(const ClientRequest &request) const;

    /// The same, until @p isFinal holds for an answer; when the time is over, the last answer that came. @p
    /// advice is given where none came.
    boost::leaf::result<VmReply> askUntil(const ClientRequest &request,
                                          const std::function<bool(const VmReply &)> &isFinal,
                                          const std::string &advice) const;

    /// Sends @p request once to VM @p vm.
    boost::leaf::result<VmReply> askOne(const Endpoint &vm, const ClientRequest &request) const;

    /// The VMs that are asked, in their order.
    const std::vector<Endpoint> &vms() const;

private:
    /// Nothing where no answer came; fails where the token was refused.
    boost::leaf::result<std::optional<VmReply>> tryOne(const Endpoint &vm,
                                                       const ClientRequest &request) const;
    VmClient(const CliOptions &options, VmPort port, std::string step, std::string token);

    std::vector<Endpoint> m_vms;
    Duration m_timeout;
    std::string m_step;
    std::string m_token;
};

} // namespace Citronpitch
