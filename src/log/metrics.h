#pragma once

#include "citronpitch/timepoint.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// What is measured.
enum class Metric {
    JobsAnswered,
    JobDuration,
    JobsWaiting,
    OrdersCompleted,
    OrderDuration,
    JobsFinished,
    GroupFence,
    GroupFreeTasks,
    GroupParallelTasks,
    GroupWaitingTime,
    GroupUpstreams,
    PeerAge,
    DocumentVersion,
    ConfigurationAge,
    ConfigurationTerm,
    ConfigurationIsLeader,
    ConfigurationVoters,
    ConfigurationLogEntries,
};

enum class MetricKind {
    /// Grows while the process lives.
    Counter,
    /// As it stands when the page is fetched.
    Gauge,
    /// Times, in seconds.
    Histogram,
};

/// Name, labels and explanation of one metric.
struct MetricDefinition
{
    Metric metric;
    MetricKind kind;
    std::string_view name;
    /// Names of the labels, separated by spaces.
    std::string_view labels;
    std::string_view description;
};

/// Every metric.
std::span<const MetricDefinition> metricCatalogue();

/**
 * @brief Counters, gauges and histograms of one process, and the page that shows them.
 *
 * The values of labels must come from small sets, since each combination is kept. Used by MetricsPage and by
 * what it measures, on one thread.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Adds one to the counter @p metric for the values of its labels, in the catalogue's order.
    void increment(Metric metric, const std::vector<std::string> &labels);
    /// Sets the gauge @p metric.
    void setGauge(Metric metric, const std::vector<std::string> &labels, double value);
    /// Adds a time to the histogram @p metric.
    void observe(Metric metric, const std::vector<std::string> &labels, Duration time);
    /// Forgets every gauge, so that those of what is gone do not stay.
    void clearGauges();

    /// The page in the text format of Prometheus.
    std::string prometheusText() const;

private:
    struct Values;

    std::unique_ptr<Values> m_values;
};

} // namespace Citronpitch
