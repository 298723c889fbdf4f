#include "net/peerlink.h"

#include "net/retryoninterrupt.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <cstring>

namespace Citronpitch {

namespace {

/// Messages that wait to be sent on a link, besides PeerLinkLimits.
constexpr int sendHighWaterMarkMessages = 2000;
/// Not reached: FleetMember reads all that has arrived and bounds it there. Once the limit stops the input of
/// a connection, libzmq aborts if that connection breaks before the input is resumed, as after a suspension.
constexpr int receiveHighWaterMarkMessages = 20000;
/// Messages up to this size are sent while the links together hold too many bytes, so that votes and
/// heartbeats get through.
constexpr std::size_t smallMessageBytes = 4096;
/// ZeroMQ must drop a connection without traffic before the peer is suspected (suspicionMs, 1500 by default).
/// It does so one heartbeat interval plus one heartbeat timeout after the last message at the latest.
constexpr int heartbeatIntervalMilliseconds = 300;
constexpr int heartbeatTimeoutMilliseconds = 1000;
constexpr int connectTimeoutMilliseconds = 500;
/// Maximum time for which ZeroMQ still sends the queued messages of a closed link.
constexpr int closeLingerMilliseconds = 1000;
constexpr int handshakeTimeoutMilliseconds = 2000;
constexpr int reconnectIntervalMilliseconds = 20;
constexpr int maximumReconnectIntervalMilliseconds = 100;

std::string zmqAddress(const Endpoint &endpoint)
{
    return "tcp://" + endpoint.text();
}

} // namespace

void configurePeerSocket(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, sendHighWaterMarkMessages);
    socket.set(zmq::sockopt::rcvhwm, receiveHighWaterMarkMessages);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeatIntervalMilliseconds);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMilliseconds);
    socket.set(zmq::sockopt::handshake_ivl, handshakeTimeoutMilliseconds);
    socket.set(zmq::sockopt::connect_timeout, connectTimeoutMilliseconds);
}

namespace {

/// Content of a message until ZeroMQ has sent or dropped it, which it reports from a thread of its own.
struct QueuedMessage
{
    std::string bytes;
    std::shared_ptr<QueuedBytes> ofLink;
    std::shared_ptr<QueuedBytes> ofAll;
};

void releaseMessage(void *, void *hint)
{
    const std::unique_ptr<QueuedMessage> message(static_cast<QueuedMessage *>(hint));
    *message->ofLink -= message->bytes.size();
    *message->ofAll -= message->bytes.size();
}

} // namespace

/// Holds the ZeroMQ sockets, to keep the ZeroMQ headers out of the class declaration.
class PeerLink::Sockets
{
public:
    Sockets(boost::asio::io_context &io, zmq::context_t &context, const VmSettings &vm,
            const PeerLinkLimits &limits, std::shared_ptr<QueuedBytes> queuedInAll, LinkPhaseHandler changed)
        : m_limits(limits)
        , m_queuedInAll(std::move(queuedInAll))
        , m_state(std::move(changed))
        , m_outbound(context, zmq::socket_type::dealer)
        , m_monitor(context, zmq::socket_type::pair)
        , m_descriptor(io)
    {
        // The socket has no routing id, since messages name their sender. If an id moved from the old
        // connection of a VM to its new one, libzmq would abort when the old connection breaks.
        configurePeerSocket(m_outbound);
        m_outbound.set(zmq::sockopt::immediate, 1);
        m_outbound.set(zmq::sockopt::reconnect_ivl, reconnectIntervalMilliseconds);
        m_outbound.set(zmq::sockopt::reconnect_ivl_max, maximumReconnectIntervalMilliseconds);
        static std::uint64_t links = 0;
        startMonitoring("inproc://link-" + std::to_string(++links));
        retryOnInterrupt([&] { m_outbound.connect(zmqAddress(vm.peers)); });
    }

    ~Sockets()
    {
        *m_isAlive = false;
        m_descriptor.release();
        m_outbound.set(zmq::sockopt::linger, closeLingerMilliseconds);
        ::zmq_socket_monitor(m_outbound.handle(), nullptr, 0);
        m_state.closed();
    }

    bool send(std::string_view bytes)
    {
        const bool isSmall = bytes.size() <= smallMessageBytes;
        if (*m_queued >= m_limits.maximumQueuedBytes
            || (!isSmall && *m_queuedInAll >= m_limits.maximumQueuedBytesInAll))
            return false;
        auto content =
            std::make_unique<QueuedMessage>(QueuedMessage{std::string(bytes), m_queued, m_queuedInAll});
        auto &text = content->bytes;
        zmq::message_t message(text.data(), text.size(), releaseMessage, content.get());
        *m_queued += text.size();
        *m_queuedInAll += text.size();
        static_cast<void>(content.release());
        return retryOnInterrupt(
            [&] { return m_outbound.send(message, zmq::send_flags::dontwait).has_value(); });
    }

    std::size_t queuedBytes() const
    {
        return *m_queued;
    }

    LinkPhase phase() const
    {
        return m_state.phase();
    }

private:
    /// Enables the socket monitor and starts to read its events on the event loop.
    void startMonitoring(const std::string &address)
    {
        constexpr int events = ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED;
        retryOnInterrupt([&] {
            if (::zmq_socket_monitor(m_outbound.handle(), address.c_str(), events) != 0)
                throw zmq::error_t();
        });
        retryOnInterrupt([&] { m_monitor.connect(address); });
        m_descriptor.assign(m_monitor.get(zmq::sockopt::fd));
        readEvents();
    }

    /// The ZeroMQ descriptor is edge-triggered, so all events must be read before waiting for it.
    void readEvents()
    {
        zmq::message_t event;
        zmq::message_t address;
        const auto receive = [this](zmq::message_t &message) {
            return retryOnInterrupt(
                [&] { return m_monitor.recv(message, zmq::recv_flags::dontwait).has_value(); });
        };
        while (receive(event)) {
            if (!receive(address) || event.size() < sizeof(std::uint16_t))
                break;
            handleEvent(event);
        }
        m_descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                                [this, isAlive = m_isAlive](boost::system::error_code ec) {
                                    if (!ec && *isAlive)
                                        readEvents();
                                });
    }

    void handleEvent(const zmq::message_t &event)
    {
        std::uint16_t number = 0;
        std::memcpy(&number, event.data(), sizeof number);
        if (number == ZMQ_EVENT_HANDSHAKE_SUCCEEDED)
            m_state.connected();
        else if (number == ZMQ_EVENT_DISCONNECTED)
            m_state.disconnected();
    }

    PeerLinkLimits m_limits;
    std::shared_ptr<QueuedBytes> m_queued = std::make_shared<QueuedBytes>(0);
    std::shared_ptr<QueuedBytes> m_queuedInAll;
    LinkStateMachine m_state;
    zmq::socket_t m_outbound;
    zmq::socket_t m_monitor;
    boost::asio::posix::stream_descriptor m_descriptor;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

PeerLink::PeerLink(boost::asio::io_context &io, zmq::context_t &context, const VmSettings &vm,
                   const PeerLinkLimits &limits, std::shared_ptr<QueuedBytes> queuedInAll,
                   LinkPhaseHandler changed)
    : m_sockets(
        std::make_unique<Sockets>(io, context, vm, limits, std::move(queuedInAll), std::move(changed)))
{
}

PeerLink::~PeerLink() = default;

bool PeerLink::send(std::string_view bytes)
{
    return m_sockets->send(bytes);
}

std::size_t PeerLink::queuedBytes() const
{
    return m_sockets->queuedBytes();
}

LinkPhase PeerLink::phase() const
{
    return m_sockets->phase();
}

} // namespace Citronpitch
