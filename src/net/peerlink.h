#pragma once

#include "net/linkstatemachine.h"
#include "net/peerlinks.h"
#include "settings/settings.h"

#include <boost/asio/io_context.hpp>

#include <atomic>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace zmq {
class context_t;
class socket_t;
} // namespace zmq

namespace Citronpitch {

/// Number of bytes that wait to be sent; ZeroMQ releases them in a thread of its own.
using QueuedBytes = std::atomic<std::size_t>;

/**
 * @brief Sending side of the link to one other entry VM: a ZeroMQ socket whose monitor events determine the
 * link phase.
 *
 * Used by PeerLinks.
 */
class PeerLink
{
public:
    PeerLink(boost::asio::io_context &io, zmq::context_t &context, const VmSettings &vm,
             const PeerLinkLimits &limits, std::shared_ptr<QueuedBytes> queuedInAll,
             LinkPhaseHandler changed);
    ~PeerLink();
    PeerLink(const PeerLink &) = delete;
    PeerLink &operator=(const PeerLink &) = delete;

    /// Sends @p bytes without blocking. Returns false if the message was dropped: not connected, or queue
    /// full.
    bool send(std::string_view bytes);

    /// Returns the bytes that were not sent to the peer yet.
    std::size_t queuedBytes() const;

    LinkPhase phase() const;

private:
    class Sockets;

    std::unique_ptr<Sockets> m_sockets;
};

/// Sets the options of all sockets between entry VMs: no linger, high-water marks, heartbeats and timeouts.
void configurePeerSocket(zmq::socket_t &socket);

} // namespace Citronpitch
