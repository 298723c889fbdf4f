#include "support/endlesssenders.h"

#include <cerrno>
#include <cstring>
#include <string_view>
#include <thread>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

namespace Citronpitch {

namespace {

using Clock = std::chrono::steady_clock;

constexpr std::size_t writeBytes = std::size_t{256} << 10;

struct Sender
{
    pollfd socket{-1, POLLOUT, 0};
    std::size_t sent = 0;
    bool isOpen = false;
};

std::string repeated(const std::string &text, std::size_t bytes)
{
    std::string all;
    while (all.size() < bytes && !text.empty())
        all += text;
    return all;
}

std::string withId(std::string text, std::size_t number)
{
    constexpr std::string_view placeholder = "{id}";
    constexpr std::size_t digits = 16;
    const auto position = text.find(placeholder);
    if (position == std::string::npos)
        return text;
    auto id = std::to_string(number);
    id.insert(0, digits - id.size(), '0');
    return text.replace(position, placeholder.size(), id);
}

} // namespace

void sendEndlessly(const Endpoint &endpoint, const EndlessInput &input, std::size_t connections)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(endpoint.port);
    inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
    const auto rest = repeated(input.rest, writeBytes);
    std::vector<Sender> senders(connections);
    std::size_t number = 0;
    for (auto &it : senders) {
        const auto beginning = withId(input.beginning, ++number);
        it.socket.fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        it.isOpen = ::connect(it.socket.fd, reinterpret_cast<sockaddr *>(&address), sizeof address) == 0
            && ::send(it.socket.fd, beginning.data(), beginning.size(), MSG_NOSIGNAL) >= 0;
    }
    const auto deadline = Clock::now() + input.maximumTime;
    if (input.rest.empty())
        std::this_thread::sleep_until(deadline);
    bool isAnyOpen = !input.rest.empty();
    while (isAnyOpen && Clock::now() < deadline) {
        std::vector<pollfd> polled;
        for (const auto &it : senders) {
            if (it.isOpen)
                polled.push_back(it.socket);
        }
        constexpr int pollMilliseconds = 50;
        ::poll(polled.data(), polled.size(), pollMilliseconds);
        isAnyOpen = false;
        for (auto &it : senders) {
            if (!it.isOpen)
                continue;
            // Continues where the last call ended, so that the text that is repeated stays whole.
            const auto offset = it.sent % input.rest.size();
            const auto n =
                ::send(it.socket.fd, rest.data() + offset, rest.size() - offset, MSG_NOSIGNAL | MSG_DONTWAIT);
            it.sent += n > 0 ? static_cast<std::size_t>(n) : 0;
            it.isOpen = (n >= 0 || errno == EAGAIN) && it.sent < input.maximumBytes;
            isAnyOpen = isAnyOpen || it.isOpen;
        }
    }
    for (const auto &it : senders)
        ::close(it.socket.fd);
}

std::vector<EndlessInput> endlessRequests()
{
    const std::string text(1000, 'a');
    const std::string chunked =
        "POST /p/0123456789abcdef HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n";
    EndlessInput pipelined{"pipelined", "", "GET /p/ HTTP/1.1\r\nHost: h\r\n\r\n"};
    pipelined.maximumTime = std::chrono::seconds(2);
    return {
        {"trailers", chunked + "0\r\n", "T: " + text + "\r\n"},
        {"smallTrailers", chunked + "0\r\n", "T:\r\n"},
        {"oneTrailer", chunked + "0\r\nT: ", text},
        {"chunkExtension", chunked + "1;e=", text},
        {"header", "GET /p/ HTTP/1.1\r\nHost: h\r\n", "H: " + text + "\r\n"},
        {"oneHeader", "GET /p/ HTTP/1.1\r\nHost: h\r\nH: ", text},
        {"body", chunked, "3e8\r\n" + text + "\r\n"},
        pipelined,
    };
}

} // namespace Citronpitch
