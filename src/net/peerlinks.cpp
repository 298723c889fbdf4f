#include "net/peerlinks.h"

#include "net/peerlink.h"
#include "net/retryoninterrupt.h"

#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <zmq.hpp>

#include <map>

namespace Citronpitch {

namespace {

/// Maximum number of messages read per event loop iteration, so that a busy socket does not starve other
/// events.
constexpr int messagesPerRead = 200;

} // namespace

/// Holds the ZeroMQ sockets, to keep the ZeroMQ headers out of the class declaration.
class PeerLinks::Sockets
{
public:
    Sockets(boost::asio::io_context &io, std::string name, PeerMessageHandler received,
            PeerLinkHandler changed, const PeerLinkLimits &limits)
        : m_io(io)
        , m_name(std::move(name))
        , m_context(1)
        , m_inbound(m_context, zmq::socket_type::router)
        , m_descriptor(io)
        , m_received(std::move(received))
        , m_changed(std::move(changed))
        , m_limits(limits)
    {
    }

    ~Sockets()
    {
        *m_isAlive = false;
        m_descriptor.release();
    }

    void bind(const Endpoint &own)
    {
        configurePeerSocket(m_inbound);
        retryOnInterrupt([&] { m_inbound.bind("tcp://" + own.text()); });
        m_descriptor.assign(m_inbound.get(zmq::sockopt::fd));
        // Messages may have arrived already, while the owner of the handler is still being constructed.
        readMessagesLater();
    }

    void connect(const VmSettings &vm)
    {
        const auto other = vm.identity.name;
        if (other == m_name || m_links.contains(other))
            return;
        auto link = std::make_unique<PeerLink>(m_io, m_context, vm, m_limits, m_queuedBytes,
                                               [this, other](LinkPhase phase) {
                                                   if (m_changed && phase != LinkPhase::Closed)
                                                       m_changed(other, phase == LinkPhase::Up);
                                               });
        m_links.emplace(other, std::move(link));
    }

    void disconnect(const std::string &vm)
    {
        m_links.erase(vm);
    }

    std::size_t queuedBytes() const
    {
        return *m_queuedBytes;
    }

    bool send(const std::string &vm, std::string_view bytes)
    {
        const auto it = m_links.find(vm);
        return it != m_links.end() && it->second->send(bytes);
    }

private:
    /// Reads pending messages. The ZeroMQ descriptor is edge-triggered, so it is only waited for once none is
    /// left.
    void readMessages()
    {
        zmq::message_t sender;
        zmq::message_t body;
        for (int i = 0; i < messagesPerRead; ++i) {
            if (!receive(sender)) {
                waitUntilReadable();
                return;
            }
            bool hasBody = false;
            while (m_inbound.get(zmq::sockopt::rcvmore) != 0)
                hasBody = receive(body);
            if (hasBody)
                m_received(body.to_string_view());
        }
        readMessagesLater();
    }

    void readMessagesLater()
    {
        boost::asio::post(m_descriptor.get_executor(), [this, isAlive = m_isAlive] {
            if (*isAlive)
                readMessages();
        });
    }

    /// Returns false if no message is pending.
    bool receive(zmq::message_t &message)
    {
        return retryOnInterrupt(
            [&] { return m_inbound.recv(message, zmq::recv_flags::dontwait).has_value(); });
    }

    void waitUntilReadable()
    {
        m_descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                                [this, isAlive = m_isAlive](boost::system::error_code ec) {
                                    if (!ec && *isAlive)
                                        readMessages();
                                });
    }

    boost::asio::io_context &m_io;
    std::string m_name;
    zmq::context_t m_context;
    zmq::socket_t m_inbound;
    std::shared_ptr<QueuedBytes> m_queuedBytes = std::make_shared<QueuedBytes>(0);
    std::map<std::string, std::unique_ptr<PeerLink>> m_links;
    boost::asio::posix::stream_descriptor m_descriptor;
    PeerMessageHandler m_received;
    PeerLinkHandler m_changed;
    PeerLinkLimits m_limits;
    std::shared_ptr<bool> m_isAlive = std::make_shared<bool>(true);
};

PeerLinks::PeerLinks(boost::asio::io_context &io, const std::string &name, const Endpoint &own,
                     const std::vector<VmSettings> &vms, PeerMessageHandler received,
                     const PeerLinkHandler &changed, const PeerLinkLimits &limits)
    : m_sockets(std::make_unique<Sockets>(io, name, std::move(received), changed, limits))
{
    m_sockets->bind(own);
    for (const auto &it : vms)
        m_sockets->connect(it);
}

PeerLinks::~PeerLinks() = default;

void PeerLinks::add(const VmSettings &vm)
{
    m_sockets->connect(vm);
}

void PeerLinks::remove(const std::string &vm)
{
    m_sockets->disconnect(vm);
}

std::size_t PeerLinks::queuedBytes() const
{
    return m_sockets->queuedBytes();
}

bool PeerLinks::send(const std::string &vm, std::string_view bytes)
{
    return m_sockets->send(vm, bytes);
}

} // namespace Citronpitch
