#pragma once

#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace Citronpitch {

/// Told the bytes of a message that arrived of another entry VM.
using PeerMessageHandler = std::function<void(std::string_view)>;

/// Told that the link to a VM stands, or that it has ended.
using PeerLinkHandler = std::function<void(const std::string &vm, bool isUp)>;

/**
 * @brief Links to the other entry VMs over ZeroMQ.
 *
 * A message is sent only on a link that stands; nothing is queued for one that does not, and nothing relies
 * on delivery. Used by Daemon.
 */
class PeerLinks
{
public:
    /// Binds @p own; throws zmq::error_t where the address can't be had.
    PeerLinks(boost::asio::io_context &io, const std::string &name, const Endpoint &own,
              const std::vector<VmSettings> &vms, PeerMessageHandler received,
              const PeerLinkHandler &changed);
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Opens a link to @p vm; nothing where there is one.
    void add(const VmSettings &vm);
    /// Closes the link to @p vm.
    void remove(const std::string &vm);

    /// Sends @p bytes to @p vm. Returns false when the link does not stand and the message was dropped.
    bool send(const std::string &vm, std::string_view bytes);

private:
    class Sockets;

    std::unique_ptr<Sockets> m_sockets;
};

} // namespace Citronpitch
