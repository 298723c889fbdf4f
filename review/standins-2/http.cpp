#include "http.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cctype>
#include <chrono>
#include <optional>
#include <poll.h>
#include <stdexcept>
#include <sys/socket.h>
#include <unistd.h>

namespace Review {

namespace {

constexpr std::size_t bufferBytes = 65536;

sockaddr_in addressOf(const Endpoint &endpoint)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    return address;
}

int bound(const Endpoint &endpoint)
{
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &enabled, sizeof enabled);
    const auto address = addressOf(endpoint);
    if (::bind(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return -1;
    }
    return descriptor;
}

bool sendAll(int descriptor, std::string_view bytes)
{
    while (!bytes.empty()) {
        const auto n = ::send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

/// A message of either direction: its first line, headers and body.
struct Message
{
    std::string firstLine;
    std::map<std::string, std::string> headers;
    std::string body;
};

/// Takes one message off the start of @p buffer if it is complete.
std::optional<Message> takeMessage(std::string &buffer)
{
    const auto headerEnd = buffer.find("\r\n\r\n");
    if (headerEnd == std::string::npos)
        return std::nullopt;
    Message message;
    auto begin = buffer.find("\r\n");
    message.firstLine = buffer.substr(0, begin);
    while (begin < headerEnd) {
        begin += 2;
        const auto end = buffer.find("\r\n", begin);
        const auto line = buffer.substr(begin, end - begin);
        const auto colon = line.find(':');
        auto name = line.substr(0, colon);
        std::transform(name.begin(), name.end(), name.begin(),
                       [](unsigned char it) { return static_cast<char>(std::tolower(it)); });
        const auto value = line.find_first_not_of(' ', colon + 1);
        message.headers[name] = value == std::string::npos ? std::string() : line.substr(value);
        begin = end;
    }
    const auto length = message.headers.find("content-length");
    const std::size_t bodyBytes = length == message.headers.end() ? 0 : std::stoul(length->second);
    const auto bodyBegin = headerEnd + 4;
    if (buffer.size() < bodyBegin + bodyBytes)
        return std::nullopt;
    message.body = buffer.substr(bodyBegin, bodyBytes);
    buffer.erase(0, bodyBegin + bodyBytes);
    return message;
}

/// Reads what has arrived; false at the end of the connection or after @p timeoutMs.
bool readSome(int descriptor, std::string &buffer, int timeoutMs)
{
    pollfd waited{descriptor, POLLIN, 0};
    if (::poll(&waited, 1, timeoutMs) <= 0)
        return false;
    std::string bytes(bufferBytes, '\0');
    const auto n = ::recv(descriptor, bytes.data(), bytes.size(), 0);
    if (n <= 0)
        return false;
    buffer.append(bytes, 0, static_cast<std::size_t>(n));
    return true;
}

} // namespace

std::string Endpoint::text() const
{
    return address + ":" + std::to_string(port);
}

Response call(const Endpoint &endpoint, const Request &request, int timeoutMs)
{
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(timeoutMs);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const auto address = addressOf(endpoint);
    Response response;
    std::string text = request.method + " " + request.target + " HTTP/1.1\r\n";
    for (const auto &[name, value] : request.headers)
        text.append(name).append(": ").append(value).append("\r\n");
    text += "content-length: " + std::to_string(request.body.size()) + "\r\n\r\n" + request.body;
    const bool isSent =
        ::connect(descriptor, reinterpret_cast<const sockaddr *>(&address), sizeof address) == 0
        && sendAll(descriptor, text);
    std::string buffer;
    while (isSent && response.status == 0) {
        const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
            deadline - std::chrono::steady_clock::now());
        if (left.count() <= 0 || !readSome(descriptor, buffer, static_cast<int>(left.count())))
            break;
        if (auto message = takeMessage(buffer))
            response = {std::stoi(message->firstLine.substr(9, 3)), std::move(message->body)};
    }
    ::close(descriptor);
    return response;
}

Server::Server(const Endpoint &endpoint, Handler handler)
    : m_handler(std::move(handler))
    , m_listener(bound(endpoint))
{
    if (m_listener < 0 || ::listen(m_listener, SOMAXCONN) != 0)
        throw std::runtime_error("can't listen on " + endpoint.text());
    m_acceptor = std::thread([this] { accept(); });
}

Server::~Server()
{
    m_isStopping = true;
    ::shutdown(m_listener, SHUT_RDWR);
    m_acceptor.join();
    {
        const std::lock_guard lock(m_mutex);
        for (const auto it : m_connections)
            ::shutdown(it, SHUT_RDWR);
    }
    for (auto &it : m_threads)
        it.join();
    ::close(m_listener);
}

void Server::accept()
{
    while (!m_isStopping) {
        const int connection = ::accept4(m_listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (connection < 0)
            continue;
        const std::lock_guard lock(m_mutex);
        m_connections.insert(connection);
        m_threads.emplace_back([this, connection] { serve(connection); });
    }
}

void Server::serve(int connection)
{
    std::string buffer;
    while (!m_isStopping && readSome(connection, buffer, -1)) {
        while (auto message = takeMessage(buffer)) {
            const auto target = message->firstLine.find(' ') + 1;
            const Request request{
                message->firstLine.substr(0, target - 1),
                message->firstLine.substr(target, message->firstLine.find(' ', target) - target),
                std::move(message->headers), std::move(message->body)};
            const auto response = m_handler(request);
            // No answer: the connection stays as it is.
            if (response.status == 0)
                continue;
            sendAll(connection,
                    "HTTP/1.1 " + std::to_string(response.status)
                        + " X\r\ncontent-type: application/json\r\ncontent-length: "
                        + std::to_string(response.body.size()) + "\r\n\r\n" + response.body);
        }
    }
    const std::lock_guard lock(m_mutex);
    m_connections.erase(connection);
    ::close(connection);
}

bool isFree(const Endpoint &endpoint)
{
    const int descriptor = bound(endpoint);
    if (descriptor < 0)
        return false;
    ::close(descriptor);
    return true;
}

} // namespace Review
