#pragma once

#include "log/metrics.h"
#include "net/httpserver.h"

#include <boost/asio/io_context.hpp>

#include <functional>
#include <memory>
#include <optional>

namespace Citronpitch {

/**
 * @brief The metrics of one VM of a fleet, and the listener that serves them.
 *
 * A VM whose listener can't be had goes on without it. Used by FleetEntry and FleetControl.
 */
class MetricsPage
{
public:
    /// Sets the gauges to what they stand at.
    using Collect = std::function<void(Metrics &)>;

    /// Listens on @p endpoint, where there is one.
    MetricsPage(boost::asio::io_context &io, const std::optional<Endpoint> &endpoint, Collect collect);

    Metrics &metrics();

private:
    HttpResponse page();

    Metrics m_metrics;
    Collect m_collect;
    std::unique_ptr<HttpServer> m_server;
};

} // namespace Citronpitch
