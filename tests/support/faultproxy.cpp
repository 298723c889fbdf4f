#include "support/faultproxy.h"

#include <boost/asio.hpp>

#include <array>
#include <deque>
#include <set>

namespace Citronpitch {

using Tcp = boost::asio::ip::tcp;
using SteadyTime = std::chrono::steady_clock::time_point;

namespace {

Tcp::endpoint toTcp(const Endpoint &endpoint)
{
    return {boost::asio::ip::make_address(endpoint.address), endpoint.port};
}

/// One connection through the proxy: two sockets and the bytes on their way.
class ProxyConnection : public std::enable_shared_from_this<ProxyConnection>
{
public:
    ProxyConnection(boost::asio::io_context &io, Tcp::socket client, FaultPlan &faults,
                    std::atomic<std::uint64_t> &passedBytes)
        : m_faults(faults)
        , m_passedBytes(passedBytes)
        , m_toServer(io, Flow::ToServer)
        , m_toClient(io, Flow::ToClient)
        , m_client(std::move(client))
        , m_server(io)
    {
    }

    void start(const Tcp::endpoint &target)
    {
        m_server.async_connect(target, [self = shared_from_this()](boost::system::error_code ec) {
            if (ec) {
                self->close();
                return;
            }
            boost::system::error_code ignored;
            self->m_client.set_option(Tcp::no_delay(true), ignored);
            self->m_server.set_option(Tcp::no_delay(true), ignored);
            self->read(self->m_toServer);
            self->read(self->m_toClient);
        });
    }

    void close()
    {
        boost::system::error_code ignored;
        m_client.close(ignored);
        m_server.close(ignored);
        m_toServer.timer.cancel();
        m_toClient.timer.cancel();
    }

    bool isOpen() const
    {
        return m_client.is_open();
    }

private:
    struct Chunk
    {
        SteadyTime due;
        std::string bytes;
    };

    struct Pipe
    {
        Pipe(boost::asio::io_context &io, Flow direction)
            : flow(direction)
            , timer(io)
        {
        }

        Flow flow;
        boost::asio::steady_timer timer;
        std::array<char, 65536> buf{};
        std::deque<Chunk> chunks;
        std::int64_t passed = 0;
        bool isWriting = false;
        bool hasEnded = false;
    };

    Tcp::socket &source(const Pipe &pipe)
    {
        return pipe.flow == Flow::ToServer ? m_client : m_server;
    }

    Tcp::socket &sink(const Pipe &pipe)
    {
        return pipe.flow == Flow::ToServer ? m_server : m_client;
    }

    void read(Pipe &pipe)
    {
        source(pipe).async_read_some(
            boost::asio::buffer(pipe.buf),
            [self = shared_from_this(), &pipe](boost::system::error_code ec, std::size_t n) {
                if (ec) {
                    pipe.hasEnded = true;
                    self->write(pipe);
                    return;
                }
                self->take(pipe, n);
                self->read(pipe);
            });
    }

    void take(Pipe &pipe, std::size_t n)
    {
        const bool isToServer = pipe.flow == Flow::ToServer;
        if (isToServer ? m_faults.swallowToServer : m_faults.swallowToClient)
            return;
        const std::int64_t limit = isToServer ? m_faults.closeAfterToServer : m_faults.closeAfterToClient;
        std::size_t kept = n;
        if (limit >= 0)
            kept = std::min<std::size_t>(
                n, static_cast<std::size_t>(std::max<std::int64_t>(limit - pipe.passed, 0)));
        pipe.passed += static_cast<std::int64_t>(kept);
        const auto due = std::chrono::steady_clock::now() + Duration(m_faults.delayMicroseconds.load());
        pipe.chunks.push_back({due, std::string(pipe.buf.data(), kept)});
        if (kept < n)
            pipe.hasEnded = true;
        write(pipe);
    }

    void write(Pipe &pipe)
    {
        if (pipe.isWriting)
            return;
        if (pipe.chunks.empty()) {
            if (pipe.hasEnded)
                close();
            return;
        }
        pipe.isWriting = true;
        if (pipe.chunks.front().due <= std::chrono::steady_clock::now()) {
            writeFront(pipe);
            return;
        }
        pipe.timer.expires_at(pipe.chunks.front().due);
        pipe.timer.async_wait([self = shared_from_this(), &pipe](boost::system::error_code ec) {
            if (!ec)
                self->writeFront(pipe);
        });
    }

    void writeFront(Pipe &pipe)
    {
        const auto &bytes = pipe.chunks.front().bytes;
        boost::asio::async_write(
            sink(pipe), boost::asio::buffer(bytes),
            [self = shared_from_this(), &pipe](boost::system::error_code ec, std::size_t n) {
                self->m_passedBytes += n;
                pipe.chunks.pop_front();
                pipe.isWriting = false;
                if (ec)
                    self->close();
                else
                    self->write(pipe);
            });
    }

    FaultPlan &m_faults;
    std::atomic<std::uint64_t> &m_passedBytes;
    Pipe m_toServer;
    Pipe m_toClient;
    Tcp::socket m_client;
    Tcp::socket m_server;
};

} // namespace

/// Takes the connections of a FaultProxy.
class FaultProxy::Acceptor
{
public:
    Acceptor(FaultProxy &proxy, const Endpoint &listen, const Endpoint &target)
        : m_proxy(proxy)
        , m_acceptor(proxy.m_io, toTcp(listen))
        , m_target(toTcp(target))
    {
        accept();
    }

    void closeAll()
    {
        for (const auto &it : m_connections)
            it->close();
        m_connections.clear();
    }

private:
    void accept()
    {
        m_acceptor.async_accept([this](boost::system::error_code ec, Tcp::socket socket) {
            if (ec)
                return;
            std::erase_if(m_connections, [](const auto &it) { return !it->isOpen(); });
            if (!m_proxy.m_faults.refuse) {
                const auto connection = std::make_shared<ProxyConnection>(
                    m_proxy.m_io, std::move(socket), m_proxy.m_faults, m_proxy.m_passedBytes);
                m_connections.insert(connection);
                connection->start(m_target);
            }
            accept();
        });
    }

    FaultProxy &m_proxy;
    Tcp::acceptor m_acceptor;
    Tcp::endpoint m_target;
    std::set<std::shared_ptr<ProxyConnection>> m_connections;
};

FaultProxy::FaultProxy(const Endpoint &listen, const Endpoint &target)
    : m_acceptor(std::make_unique<Acceptor>(*this, listen, target))
    , m_thread([this] { m_io.run(); })
{
}

FaultProxy::~FaultProxy()
{
    m_io.stop();
    m_thread.join();
}

FaultPlan &FaultProxy::faults()
{
    return m_faults;
}

void FaultProxy::closeAll()
{
    boost::asio::post(m_io, [this] { m_acceptor->closeAll(); });
}

std::uint64_t FaultProxy::passedBytes() const
{
    return m_passedBytes;
}

} // namespace Citronpitch
