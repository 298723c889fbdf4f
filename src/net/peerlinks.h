#pragma once

#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <cstddef>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>

namespace Citronpitch {

/// Called with the bytes of each message received from another entry VM.
using PeerMessageHandler = std::function<void(std::string_view)>;

/// Called when the link to @p vm comes up or goes down.
using PeerLinkHandler = std::function<void(const std::string &vm, bool isUp)>;

/// Limits of the bytes that wait to be sent.
struct PeerLinkLimits
{
    static constexpr std::size_t unlimited = std::numeric_limits<std::size_t>::max();

    /// A link that holds this many bytes takes no message. A single message may be larger.
    std::size_t maximumQueuedBytes = unlimited;
    /// While all links together hold this many bytes, they take only messages of up to 4 KB.
    std::size_t maximumQueuedBytesInAll = unlimited;
};

/**
 * @brief Manages the ZeroMQ links to the other entry VMs.
 *
 * A message is sent only on a link that is up, and dropped otherwise. Delivery is not guaranteed, and no
 * caller relies on it. Used by Daemon.
 */
class PeerLinks
{
public:
    /// Binds @p own and connects to all @p vms except @p name; throws zmq::error_t if @p own can't be bound.
    /// Calls @p received only from the event loop.
    PeerLinks(boost::asio::io_context &io, const std::string &name, const Endpoint &own,
              const std::vector<VmSettings> &vms, PeerMessageHandler received, const PeerLinkHandler &changed,
              const PeerLinkLimits &limits = {});
    ~PeerLinks();
    PeerLinks(const PeerLinks &) = delete;
    PeerLinks &operator=(const PeerLinks &) = delete;

    /// Opens a link to @p vm; no effect if there is one.
    void add(const VmSettings &vm);
    /// Closes the link to @p vm; no effect if there is none.
    void remove(const std::string &vm);

    /// Sends @p bytes to @p vm. Returns false if the message was dropped: no link, not connected, or queue
    /// full.
    bool send(const std::string &vm, std::string_view bytes);

    /// Returns the bytes of all links that were not sent yet.
    std::size_t queuedBytes() const;

private:
    class Sockets;

    std::unique_ptr<Sockets> m_sockets;
};

} // namespace Citronpitch
