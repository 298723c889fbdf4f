#pragma once

#include "log/metrics.h"
#include "net/httpserver.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace Citronpitch {

/**
 * @brief Holds the metrics of one VM of a fleet and serves them over HTTP.
 *
 * A VM whose metrics listener can't be opened runs without it. Used by FleetEntry and FleetControl.
 */
class MetricsPage
{
public:
    /// Sets all gauges. Called for each request of the page, after the gauges were cleared.
    using Collect = std::function<void(Metrics &)>;

    /// Listens on @p endpoint, if there is one.
    MetricsPage(boost::asio::io_context &io, const std::optional<Endpoint> &endpoint, Collect collect);

    Metrics &metrics();

private:
    HttpResponse page();

    Metrics m_metrics;
    Collect m_collect;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Citronpitch
