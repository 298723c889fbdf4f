#include "net/peerlinks.h"

#include "net/peerlink.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

#include <map>

namespace Citronpitch {

namespace {

/// Messages read before other events get their turn.
constexpr int messagesPerTurn = 200;

} // namespace

/// The ZeroMQ sockets; apart, so that no other file sees their headers.
class PeerLinks::Sockets
{
public:
    Sockets(boost::asio::io_context &io, PeerReceived received)
        : m_io(io)
        , m_context(1)
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
        preparePeerSocket(m_inbound);
        m_inbound.set(zmq::sockopt::router_handover, 1);
        m_inbound.bind("tcp://" + own.address + ":" + std::to_string(own.port));
        m_readable.assign(m_inbound.get(zmq::sockopt::fd));
        readTurn();
    }

    void connect(const std::string &name, const VmSettings &vm, const PeerLinkChanged &changed)
    {
        const auto other = vm.identity.name;
        auto link = std::make_unique<PeerLink>(m_io, m_context, name, vm, [other, changed](LinkPhase phase) {
            if (changed && phase != LinkPhase::Closed)
                changed(other, phase == LinkPhase::Up);
        });
        m_links.emplace(other, std::move(link));
    }

    bool send(const std::string &vm, std::string_view bytes)
    {
        const auto it = m_links.find(vm);
        return it != m_links.end() && it->second->send(bytes);
    }

private:
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

    boost::asio::io_context &m_io;
    zmq::context_t m_context;
    zmq::socket_t m_inbound;
    std::map<std::string, std::unique_ptr<PeerLink>> m_links;
    boost::asio::posix::stream_descriptor m_readable;
    PeerReceived m_received;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

PeerLinks::PeerLinks(boost::asio::io_context &io, const std::string &name, const Endpoint &own,
                     const std::vector<VmSettings> &vms, PeerReceived received,
                     const PeerLinkChanged &changed)
    : m_sockets(std::make_unique<Sockets>(io, std::move(received)))
{
    m_sockets->bind(own);
    for (const auto &it : vms) {
        if (it.identity.name != name)
            m_sockets->connect(name, it, changed);
    }
}

PeerLinks::~PeerLinks() = default;

bool PeerLinks::send(const std::string &vm, std::string_view bytes)
{
    return m_sockets->send(vm, bytes);
}

} // namespace Citronpitch
