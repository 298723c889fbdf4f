#include "http.h"

#include <sys/socket.h>

#include <mutex>

namespace Review {

namespace beast = boost::beast;
namespace http = boost::beast::http;
using Tcp = boost::asio::ip::tcp;

namespace {

Tcp::endpoint endpointOf(const Address &address)
{
    return {boost::asio::ip::make_address(address.ip), address.port};
}

} // namespace

Reply callOnce(const Address &to, const Call &call, std::chrono::milliseconds timeout)
{
    boost::asio::io_context io;
    beast::tcp_stream stream(io);
    http::request<http::string_body> request(http::string_to_verb(call.method), call.path, 11);
    request.set(http::field::host, to.text());
    request.set(http::field::content_type, "application/json");
    for (const auto &[name, value] : call.headers)
        request.set(name, value);
    request.body() = call.body;
    request.prepare_payload();
    beast::flat_buffer buffer;
    http::response<http::string_body> response;
    Reply reply;
    const auto begin = std::chrono::steady_clock::now();
    stream.expires_after(timeout);
    stream.async_connect(endpointOf(to), [&](beast::error_code connectError) {
        if (connectError)
            return;
        http::async_write(stream, request, [&](beast::error_code writeError, std::size_t) {
            if (writeError)
                return;
            http::async_read(stream, buffer, response, [&](beast::error_code readError, std::size_t) {
                if (readError)
                    return;
                reply.status = static_cast<int>(response.result_int());
                reply.body = response.body();
            });
        });
    });
    io.run();
    reply.isTimedOut = reply.status == 0 && std::chrono::steady_clock::now() - begin >= timeout;
    return reply;
}

struct Server::Session
{
    Session(boost::asio::io_context &io, const Handler &handle)
        : socket(io)
        , handler(handle)
    {
    }

    void run()
    {
        beast::flat_buffer buffer;
        beast::error_code ec;
        while (!ec) {
            http::request_parser<http::string_body> parser;
            http::read(socket, buffer, parser, ec);
            if (ec)
                break;
            const auto request = parser.release();
            Call call{
                std::string(request.method_string()), std::string(request.target()), request.body(), {}};
            for (const auto &it : request)
                call.headers.emplace_back(std::string(it.name_string()), std::string(it.value()));
            const auto reply = handler(call);
            if (reply.status == 0)
                break;
            http::response<http::string_body> response(static_cast<http::status>(reply.status), 11);
            response.set(http::field::content_type, "application/json");
            response.body() = reply.body;
            response.keep_alive(request.keep_alive());
            response.prepare_payload();
            http::write(socket, response, ec);
            if (!request.keep_alive())
                break;
        }
        beast::error_code ignored;
        socket.shutdown(Tcp::socket::shutdown_both, ignored);
    }

    Tcp::socket socket;
    const Handler &handler;
    std::thread thread;
};

Server::Server(const Address &own, Handler handler)
    : m_handler(std::move(handler))
    , m_acceptor(m_io, endpointOf(own))
    , m_thread([this] { acceptLoop(); })
{
}

Server::~Server()
{
    m_isStopping = true;
    ::shutdown(m_acceptor.native_handle(), SHUT_RDWR);
    m_thread.join();
    for (const auto &it : m_sessions) {
        ::shutdown(it->socket.native_handle(), SHUT_RDWR);
        it->thread.join();
    }
}

void Server::acceptLoop()
{
    while (!m_isStopping) {
        const auto session = std::make_shared<Session>(m_io, m_handler);
        beast::error_code ec;
        m_acceptor.accept(session->socket, ec);
        if (ec)
            continue;
        session->socket.set_option(Tcp::no_delay(true), ec);
        session->thread = std::thread([session] { session->run(); });
        m_sessions.push_back(session);
    }
}

} // namespace Review
