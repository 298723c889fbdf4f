#include "fleet/metricspage.h"

#include "log/eventlog.h"

#include <utility>

namespace Citronpitch {

namespace {

constexpr int statusOk = 200;
constexpr int statusNotFound = 404;
constexpr std::string_view pagePath = "/metrics";

/// Enough for one scraper and a person with a browser.
HttpLimits scraperLimits()
{
    constexpr std::uint64_t bodyBytes = 1024;
    constexpr std::uint32_t headerBytes = 8192;
    constexpr std::uint32_t connections = 8;
    constexpr Duration idleTimeout = std::chrono::seconds(15);
    constexpr Duration readTimeout = std::chrono::seconds(5);
    return {bodyBytes, bodyBytes, headerBytes, connections, connections, idleTimeout, readTimeout};
}

} // namespace

MetricsPage::MetricsPage(boost::asio::io_context &io, const std::optional<Endpoint> &endpoint,
                         Collect collect)
    : m_collect(std::move(collect))
{
    if (!endpoint)
        return;
    try {
        m_server = std::make_unique<HttpServer>(
            io, *endpoint, scraperLimits(),
            [this](const HttpRequest &request, const HttpResponder &respond) -> DisconnectHandler {
                const bool isPage = request.method == "GET" && request.path == pagePath;
                respond(isPage ? page()
                               : HttpResponse{statusNotFound, "the page is /metrics\n", {}, "text/plain"});
                return nullptr;
            });
    } catch (const std::exception &e) {
        logEvent(Event::MetricsUnavailable, {{"address", endpoint->text()}, {"error", e.what()}});
    }
}

Metrics &MetricsPage::metrics()
{
    return m_metrics;
}

HttpResponse MetricsPage::page()
{
    m_metrics.clearGauges();
    m_collect(m_metrics);
    return {statusOk, m_metrics.prometheusText(), {}, "text/plain; version=0.0.4"};
}

} // namespace Citronpitch
