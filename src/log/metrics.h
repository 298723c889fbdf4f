#pragma once

#include "citronpitch/timepoint.h"

#include <cstdint>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace Citronpitch {

/// Identifies a metric of the catalogue.
enum class Metric {
    JobsAnswered,
    JobDuration,
    JobsWaiting,
    JobsPlacedAgain,
    JobsRefusedAtOnce,
    JobsSplit,
    OrdersCompleted,
    RunsLost,
    TaskCrashes,
    UpstreamsExpired,
    AnnouncementsRejected,
    OrderDuration,
    JobsFinished,
    GroupFence,
    GroupFreeTasks,
    GroupParallelTasks,
    GroupWaitingTime,
    GroupUpstreams,
    EvacuationRefusals,
    EvacuatedDomains,
    GroupContended,
    GroupAdmissions,
    PeerAge,
    DocumentVersion,
    ConfigurationAge,
    ConfigurationTerm,
    ConfigurationIsLeader,
    ConfigurationHasLeader,
    ConfigurationDroppedBytes,
    ConfigurationVoters,
    ConfigurationLogEntries,
    RequestsRefused,
    LogLinesLost,
};

enum class MetricKind {
    /// Increases monotonically until the process exits.
    Counter,
    /// Current value at the time of the scrape.
    Gauge,
    /// Distribution of durations in seconds.
    Histogram,
};

/// Name, labels and help text of one metric.
struct MetricDefinition
{
    Metric metric;
    MetricKind kind;
    std::string_view name;
    /// Names of the labels, separated by spaces.
    std::string_view labels;
    std::string_view description;
};

/// Returns the definitions of all metrics.
std::span<const MetricDefinition> metricCatalogue();

/**
 * @brief Stores the counters, gauges and histograms of one process and formats them for Prometheus.
 *
 * Label values must come from small sets, since each combination is stored as a separate time series. Not
 * thread-safe. Used by MetricsPage and the instrumented components.
 */
class Metrics
{
public:
    Metrics();
    ~Metrics();
    Metrics(const Metrics &) = delete;
    Metrics &operator=(const Metrics &) = delete;

    /// Increments the counter @p metric; @p labels are the label values in the order of the catalogue.
    void increment(Metric metric, const std::vector<std::string> &labels);
    /// Sets the gauge @p metric to @p value.
    void setGauge(Metric metric, const std::vector<std::string> &labels, double value);
    /// Sets the counter @p metric to the total that another object counts.
    void setTotal(Metric metric, const std::vector<std::string> &labels, std::uint64_t total);
    /// Adds the duration @p time to the histogram @p metric; negative durations count as zero.
    void observe(Metric metric, const std::vector<std::string> &labels, Duration time);
    /// Removes all gauges, so that series of removed objects are no longer exported.
    void clearGauges();

    /// Returns all metrics in the Prometheus text format.
    std::string prometheusText() const;

private:
    struct Values;

    std::unique_ptr<Values> m_values;
};

} // namespace Citronpitch
