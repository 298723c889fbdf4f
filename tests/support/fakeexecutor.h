#pragma once

#include "net/httpclient.h"
#include "net/httpserver.h"
#include "support/upstreammodel.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <atomic>
#include <functional>
#include <string>
#include <thread>
#include <vector>

namespace Citronpitch {

/**
 * @brief An executor of the platform on loopback: takes orders over HTTP and announces itself. Used by tests
 * of the adapter.
 */
class FakeExecutor
{
public:
    /// Listens on @p own and announces itself at the first of @p controls that answers.
    FakeExecutor(const std::string &id, const std::string &zone, const Endpoint &own,
                 std::vector<Endpoint> controls);
    ~FakeExecutor();
    FakeExecutor(const FakeExecutor &) = delete;
    FakeExecutor &operator=(const FakeExecutor &) = delete;

    /// Says from now on that it leaves.
    void leave();

    unsigned starts() const;

private:
    void announce(std::size_t control);
    void schedule();
    HttpResponse handle(const HttpRequest &request);
    TimePoint now() const;

    std::string m_id;
    std::string m_zone;
    Endpoint m_own;
    std::vector<Endpoint> m_controls;
    boost::asio::io_context m_io;
    UpstreamModel m_model;
    HttpServer m_server;
    HttpClient m_client;
    boost::asio::steady_timer m_timer;
    std::uint64_t m_sequence = 0;
    std::atomic<bool> m_isLeaving = false;
    std::atomic<unsigned> m_starts = 0;
    std::thread m_thread;
};

} // namespace Citronpitch
