#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace Review {

struct Address
{
    std::string ip;
    std::uint16_t port = 0;

    std::string text() const
    {
        return ip + ":" + std::to_string(port);
    }
};

struct Call
{
    std::string method;
    std::string path;
    std::string body;
    std::vector<std::pair<std::string, std::string>> headers;
};

/// Status 0: the connection ended, or the time was over, without a complete response.
struct Reply
{
    int status = 0;
    std::string body;
    bool isTimedOut = false;
};

/// Sends one request on a connection of its own and waits for the response.
Reply callOnce(const Address &to, const Call &call, std::chrono::milliseconds timeout);

/**
 * @brief A small HTTP/1.1 server: one thread for each connection. Used by the stand-ins of executors.
 */
class Server
{
public:
    using Handler = std::function<Reply(const Call &call)>;

    Server(const Address &own, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

private:
    struct Session;

    void acceptLoop();

    boost::asio::io_context m_io;
    Handler m_handler;
    boost::asio::ip::tcp::acceptor m_acceptor;
    std::vector<std::shared_ptr<Session>> m_sessions;
    std::atomic<bool> m_isStopping = false;
    std::thread m_thread;
};

} // namespace Review
