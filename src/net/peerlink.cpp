#include "net/peerlink.h"

#include "net/uninterrupted.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <zmq.hpp>

#include <cstring>

namespace Citronpitch {

namespace {

constexpr int queueLimitMessages = 20000;
/// A connection that has gone silent is given up well before the VM at its end would be missed.
constexpr int heartbeatMilliseconds = 300;
constexpr int heartbeatTimeoutMilliseconds = 1000;
constexpr int connectMilliseconds = 500;
/// How long closing a link waits until messages that were handed over are sent.
constexpr int closingMilliseconds = 1000;
constexpr int handshakeMilliseconds = 2000;
constexpr int reconnectMilliseconds = 20;
constexpr int reconnectLimitMilliseconds = 100;

std::string addressOf(const Endpoint &endpoint)
{
    return "tcp://" + endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace

void preparePeerSocket(zmq::socket_t &socket)
{
    socket.set(zmq::sockopt::linger, 0);
    socket.set(zmq::sockopt::sndhwm, queueLimitMessages);
    socket.set(zmq::sockopt::rcvhwm, queueLimitMessages);
    socket.set(zmq::sockopt::heartbeat_ivl, heartbeatMilliseconds);
    socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMilliseconds);
    socket.set(zmq::sockopt::handshake_ivl, handshakeMilliseconds);
    socket.set(zmq::sockopt::connect_timeout, connectMilliseconds);
}

/// The ZeroMQ sockets; apart, so that no other file sees their headers.
class PeerLink::Sockets
{
public:
    Sockets(boost::asio::io_context &io, zmq::context_t &context, const VmSettings &vm, LinkChanged changed)
        : m_state(std::move(changed))
        , m_outbound(context, zmq::socket_type::dealer)
        , m_monitor(context, zmq::socket_type::pair)
        , m_readable(io)
    {
        // It sets no routing id: messages name their sender, and an id that passes from a VM's old connection
        // to its new one leaves the old one in a state in which libzmq aborts when it breaks.
        preparePeerSocket(m_outbound);
        m_outbound.set(zmq::sockopt::immediate, 1);
        m_outbound.set(zmq::sockopt::reconnect_ivl, reconnectMilliseconds);
        m_outbound.set(zmq::sockopt::reconnect_ivl_max, reconnectLimitMilliseconds);
        static std::uint64_t links = 0;
        watch("inproc://link-" + std::to_string(++links));
        uninterrupted([&] { m_outbound.connect(addressOf(vm.peers)); });
    }

    ~Sockets()
    {
        *m_isAlive = false;
        m_readable.release();
        m_outbound.set(zmq::sockopt::linger, closingMilliseconds);
        ::zmq_socket_monitor(m_outbound.handle(), nullptr, 0);
        m_state.closed();
    }

    bool send(std::string_view bytes)
    {
        return uninterrupted(
            [&] { return m_outbound.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value(); });
    }

    LinkPhase phase() const
    {
        return m_state.phase();
    }

private:
    /// Lets the socket report its events, and reads them in the event loop.
    void watch(const std::string &address)
    {
        constexpr int events = ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED;
        uninterrupted([&] {
            if (::zmq_socket_monitor(m_outbound.handle(), address.c_str(), events) != 0)
                throw zmq::error_t();
        });
        uninterrupted([&] { m_monitor.connect(address); });
        m_readable.assign(m_monitor.get(zmq::sockopt::fd));
        readEvents();
    }

    /// The descriptor signals changes only, so it is waited for when nothing is left.
    void readEvents()
    {
        zmq::message_t event;
        zmq::message_t address;
        const auto receive = [this](zmq::message_t &message) {
            return uninterrupted(
                [&] { return m_monitor.recv(message, zmq::recv_flags::dontwait).has_value(); });
        };
        while (receive(event)) {
            if (!receive(address) || event.size() < sizeof(std::uint16_t))
                break;
            take(event);
        }
        m_readable.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                              [this, isAlive = m_isAlive](boost::system::error_code ec) {
                                  if (!ec && *isAlive)
                                      readEvents();
                              });
    }

    void take(const zmq::message_t &event)
    {
        std::uint16_t number = 0;
        std::memcpy(&number, event.data(), sizeof number);
        if (number == ZMQ_EVENT_HANDSHAKE_SUCCEEDED)
            m_state.connected();
        else if (number == ZMQ_EVENT_DISCONNECTED)
            m_state.disconnected();
    }

    LinkState m_state;
    zmq::socket_t m_outbound;
    zmq::socket_t m_monitor;
    boost::asio::posix::stream_descriptor m_readable;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

PeerLink::PeerLink(boost::asio::io_context &io, zmq::context_t &context, const VmSettings &vm,
                   LinkChanged changed)
    : m_sockets(std::make_unique<Sockets>(io, context, vm, std::move(changed)))
{
}

PeerLink::~PeerLink() = default;

bool PeerLink::send(std::string_view bytes)
{
    return m_sockets->send(bytes);
}

LinkPhase PeerLink::phase() const
{
    return m_sockets->phase();
}

} // namespace Citronpitch
