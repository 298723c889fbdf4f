#pragma once

#include "citronpitch/resources.h"
#include "net/httpclient.h"
#include "net/httpserver.h"

#include <boost/asio/steady_timer.hpp>
#include <nlohmann/json.hpp>

#include <fstream>
#include <map>
#include <set>

namespace Citronpitch {

/// What a fake upstream's settings file says.
struct FakeUpstreamSettings
{
    std::string name;
    Endpoint listen;
    /// Where callers of the upstream reach it; differs from @ref listen behind a proxy.
    Endpoint announced;
    /// Control ports of the entry VMs to announce to; one is used until it fails.
    std::vector<Endpoint> entryVms;
    std::uint32_t slots = 8;
    Resources capacity;
    std::string rack;
    /// Multiplies the time that a task declares.
    double slowness = 1.0;
    /// Every task is answered with status 500 at once.
    bool failsEverything = false;
    /// Every start is recorded here, one a line.
    std::string recordFile;
};

/// Reads the settings file at @p path; throws nlohmann::json::exception where it is malformed.
FakeUpstreamSettings loadFakeUpstreamSettings(const std::string &path);

/**
 * @brief Stand-in for an upstream: announces itself, runs tasks by waiting, and records every start it was
 * asked for.
 *
 * A task's payload is JSON: `id` names it, `ms` is its run time, `status` the status to answer with.
 */
class FakeUpstream
{
public:
    FakeUpstream(boost::asio::io_context &io, const FakeUpstreamSettings &settings);

    /// Says that it is leaving and stops once its tasks have ended.
    void leave();

private:
    DisconnectHandler handle(const HttpRequest &request, const HttpResponder &respond);
    void run(const nlohmann::json &task, const HttpResponder &respond);
    void record(const std::string &line);
    void announce();
    void announced(const ClientResponse &response);

    boost::asio::io_context &m_io;
    FakeUpstreamSettings m_settings;
    std::uint64_t m_incarnation;
    HttpServer m_server;
    HttpClient m_client;
    boost::asio::steady_timer m_renewal;
    std::ofstream m_records;
    std::set<std::string> m_attempts;
    std::size_t m_entryVm = 0;
    std::uint32_t m_running = 0;
    bool m_isLeaving = false;
};

} // namespace Citronpitch
