#include "net/peerlinks.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

#include <map>

namespace Citronpitch {

namespace {

constexpr int sendLimitMessages = 20000;
constexpr int heartbeatMilliseconds = 500;
constexpr int heartbeatTimeoutMilliseconds = 2000;
constexpr int reconnectMilliseconds = 50;
constexpr int reconnectLimitMilliseconds = 500;

/// Messages read before other events get their turn.
constexpr int messagesPerTurn = 200;

std::string addressOf(const Endpoint &endpoint)
{
    return "tcp://" + endpoint.address + ":" + std::to_string(endpoint.port);
}

} // namespace

/// The ZeroMQ sockets; apart, so that no other file sees their headers.
class PeerLinks::Sockets
{
public:
    Sockets(boost::asio::io_context &io, PeerReceived received)
        : m_context(1)
        , m_inbound(m_context, zmq::socket_type::router)
        , m_readable(io)
        , m_received(std::move(received))
    {
    }

    ~Sockets()
    {
        *m_isAlive = false;
        m_readable.release();
    }

    void bind(const Endpoint &own)
    {
        prepare(m_inbound);
        m_inbound.set(zmq::sockopt::router_handover, 1);
        m_inbound.bind(addressOf(own));
        m_readable.assign(m_inbound.get(zmq::sockopt::fd));
        readTurn();
    }

    void connect(const std::string &name, const VmSettings &vm)
    {
        auto &socket =
            m_outbound.emplace(vm.identity.name, zmq::socket_t(m_context, zmq::socket_type::dealer))
                .first->second;
        prepare(socket);
        socket.set(zmq::sockopt::routing_id, name);
        socket.set(zmq::sockopt::immediate, 1);
        socket.set(zmq::sockopt::reconnect_ivl, reconnectMilliseconds);
        socket.set(zmq::sockopt::reconnect_ivl_max, reconnectLimitMilliseconds);
        socket.connect(addressOf(vm.peers));
    }

    bool send(const std::string &vm, std::string_view bytes)
    {
        const auto it = m_outbound.find(vm);
        if (it == m_outbound.end())
            return false;
        return it->second.send(zmq::buffer(bytes), zmq::send_flags::dontwait).has_value();
    }

private:
    static void prepare(zmq::socket_t &socket)
    {
        socket.set(zmq::sockopt::linger, 0);
        socket.set(zmq::sockopt::sndhwm, sendLimitMessages);
        socket.set(zmq::sockopt::rcvhwm, sendLimitMessages);
        socket.set(zmq::sockopt::heartbeat_ivl, heartbeatMilliseconds);
        socket.set(zmq::sockopt::heartbeat_timeout, heartbeatTimeoutMilliseconds);
    }

    /// Reads what has arrived. The descriptor signals changes only, so it is waited for when nothing is left.
    void readTurn()
    {
        zmq::message_t sender;
        zmq::message_t body;
        for (int i = 0; i < messagesPerTurn; ++i) {
            if (!m_inbound.recv(sender, zmq::recv_flags::dontwait)) {
                waitForMore();
                return;
            }
            bool hasBody = false;
            while (m_inbound.get(zmq::sockopt::rcvmore) != 0)
                hasBody = m_inbound.recv(body, zmq::recv_flags::dontwait).has_value();
            if (hasBody)
                m_received(body.to_string_view());
        }
        boost::asio::post(m_readable.get_executor(), [this, isAlive = m_isAlive] {
            if (*isAlive)
                readTurn();
        });
    }

    void waitForMore()
    {
        m_readable.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                              [this, isAlive = m_isAlive](boost::system::error_code ec) {
                                  if (!ec && *isAlive)
                                      readTurn();
                              });
    }

    zmq::context_t m_context;
    zmq::socket_t m_inbound;
    std::map<std::string, zmq::socket_t> m_outbound;
    boost::asio::posix::stream_descriptor m_readable;
    PeerReceived m_received;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

PeerLinks::PeerLinks(boost::asio::io_context &io, const std::string &name, const Endpoint &own,
                     const std::vector<VmSettings> &vms, PeerReceived received)
    : m_sockets(std::make_unique<Sockets>(io, std::move(received)))
{
    m_sockets->bind(own);
    for (const auto &it : vms) {
        if (it.identity.name != name)
            m_sockets->connect(name, it);
    }
}

PeerLinks::~PeerLinks() = default;

bool PeerLinks::send(const std::string &vm, std::string_view bytes)
{
    return m_sockets->send(vm, bytes);
}

} // namespace Citronpitch
