#pragma once

#include <atomic>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace Review {

/// An address on loopback.
struct Endpoint
{
    std::string address;
    std::uint16_t port = 0;

    std::string text() const;
};

struct Request
{
    std::string method;
    std::string target;
    /// Names in lower case.
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Status 0 where no complete response came.
struct Response
{
    int status = 0;
    std::string body;
};

/// Sends one request on a connection of its own and waits for the response for at most @p timeoutMs.
Response call(const Endpoint &endpoint, const Request &request, int timeoutMs);

/// @brief HTTP/1.1 server with one thread for each connection. A response with status 0 is not sent.
class Server
{
public:
    using Handler = std::function<Response(const Request &request)>;

    Server(const Endpoint &endpoint, Handler handler);
    ~Server();
    Server(const Server &) = delete;
    Server &operator=(const Server &) = delete;

private:
    void accept();
    void serve(int connection);

    Handler m_handler;
    int m_listener = -1;
    std::atomic<bool> m_isStopping = false;
    std::mutex m_mutex;
    std::set<int> m_connections;
    std::vector<std::thread> m_threads;
    std::thread m_acceptor;
};

/// Whether @p endpoint can be bound.
bool isFree(const Endpoint &endpoint);

} // namespace Review
