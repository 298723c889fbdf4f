#include "log/metrics.h"

#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <map>
#include <sstream>
#include <utility>

namespace Citronpitch {

namespace {

constexpr std::array catalogue{
    MetricDefinition{Metric::JobsAnswered, MetricKind::Counter, "citronpitch_jobs_answered_total",
                     "class outcome reason", "Jobs that callers got an answer to, at the entry VM."},
    MetricDefinition{Metric::JobDuration, MetricKind::Histogram, "citronpitch_job_seconds", "class outcome",
                     "Time from a caller's request to its answer, at the entry VM."},
    MetricDefinition{Metric::JobsWaiting, MetricKind::Gauge, "citronpitch_jobs_waiting", "",
                     "Callers that wait for an answer, at the entry VM."},
    MetricDefinition{Metric::JobsPlacedAgain, MetricKind::Counter, "citronpitch_jobs_placed_again_total",
                     "cause",
                     "Jobs, or parts of them, that were placed in a further group, at the entry VM."},
    MetricDefinition{Metric::JobsRefusedAtOnce, MetricKind::Counter, "citronpitch_jobs_refused_at_once_total",
                     "", "Jobs that no group could run within their target, at the entry VM."},
    MetricDefinition{
        Metric::JobsSplit, MetricKind::Counter, "citronpitch_jobs_split_total", "state",
        "Jobs that were split across groups, and those that were then started, at the entry VM."},
    MetricDefinition{Metric::OrdersCompleted, MetricKind::Counter, "citronpitch_orders_total",
                     "order verdict", "Orders to upstreams, by what came back."},
    MetricDefinition{Metric::RunsLost, MetricKind::Counter, "citronpitch_runs_lost_total", "group loss",
                     "Runs that ended without a result, by reason."},
    MetricDefinition{
        Metric::TaskCrashes, MetricKind::Counter, "citronpitch_task_crashes_total", "state",
        "Records of upstreams that were lost while they ran a task, by state, at the VM that saw it."},
    MetricDefinition{Metric::UpstreamsExpired, MetricKind::Counter, "citronpitch_upstreams_expired_total",
                     "group", "Upstreams that neither announced themselves nor answered in time."},
    MetricDefinition{Metric::AnnouncementsRejected, MetricKind::Counter,
                     "citronpitch_announcements_rejected_total", "",
                     "Malformed announcements and leave calls, which changed nothing, at the control VM."},
    MetricDefinition{Metric::OrderDuration, MetricKind::Histogram, "citronpitch_order_seconds", "order",
                     "Time from an order to its answer; polls wait for ends on purpose."},
    MetricDefinition{Metric::JobsFinished, MetricKind::Counter, "citronpitch_jobs_finished_total",
                     "group outcome reason", "Jobs, or parts of them, that a group's holder has answered."},
    MetricDefinition{Metric::GroupFence, MetricKind::Gauge, "citronpitch_group_fence", "group",
                     "Fencing token under which this VM dispatches for the group."},
    MetricDefinition{Metric::GroupFreeTasks, MetricKind::Gauge, "citronpitch_group_free_tasks", "group",
                     "Tasks of the usual need that would start at once."},
    MetricDefinition{Metric::GroupParallelTasks, MetricKind::Gauge, "citronpitch_group_parallel_tasks",
                     "group", "Tasks of the usual need that run side by side."},
    MetricDefinition{Metric::GroupWaitingTime, MetricKind::Gauge, "citronpitch_group_waiting_seconds",
                     "group", "Expected run time of the tasks that wait."},
    MetricDefinition{Metric::GroupUpstreams, MetricKind::Gauge, "citronpitch_group_upstreams", "group state",
                     "Upstreams of the group: ready for starts, or held back."},
    MetricDefinition{
        Metric::EvacuationRefusals, MetricKind::Counter, "citronpitch_evacuation_refusals_total", "group",
        "Jobs, or parts of them, whose starts the group's holder refused because of an evacuation."},
    MetricDefinition{Metric::EvacuatedDomains, MetricKind::Gauge, "citronpitch_evacuated_domains", "",
                     "Failure domains that are evacuated in the configuration that is active here."},
    MetricDefinition{Metric::GroupContended, MetricKind::Gauge, "citronpitch_group_contended", "group",
                     "1 while the rules for contention are in effect."},
    MetricDefinition{Metric::GroupAdmissions, MetricKind::Gauge, "citronpitch_group_admissions",
                     "group decision", "Jobs by decision of admission since this VM holds the group."},
    MetricDefinition{Metric::PeerAge, MetricKind::Gauge, "citronpitch_peer_age_seconds", "peer",
                     "Time since a message of a control VM arrived."},
    MetricDefinition{Metric::DocumentVersion, MetricKind::Gauge, "citronpitch_document_version", "",
                     "Version of the declared document that is active here."},
    MetricDefinition{
        Metric::ConfigurationAge, MetricKind::Gauge, "citronpitch_configuration_age_seconds", "",
        "Time since it was certain that the configuration that is active here is the newest; absent while "
        "that was never certain."},
    MetricDefinition{Metric::ConfigurationTerm, MetricKind::Gauge, "citronpitch_configuration_term", "",
                     "Term of the replicated log."},
    MetricDefinition{Metric::ConfigurationIsLeader, MetricKind::Gauge, "citronpitch_configuration_is_leader",
                     "", "1 on the leader of the replicated log."},
    MetricDefinition{Metric::ConfigurationHasLeader, MetricKind::Gauge,
                     "citronpitch_configuration_has_leader", "",
                     "1 while this VM knows a leader of the replicated log, else 0."},
    MetricDefinition{Metric::ConfigurationDroppedBytes, MetricKind::Gauge,
                     "citronpitch_configuration_dropped_bytes", "",
                     "Bytes at the end of the journal that were not intact when this VM read it."},
    MetricDefinition{Metric::ConfigurationVoters, MetricKind::Gauge, "citronpitch_configuration_voters", "",
                     "Voters of the replicated log."},
    MetricDefinition{Metric::ConfigurationLogEntries, MetricKind::Gauge,
                     "citronpitch_configuration_log_entries", "",
                     "Entries of the replicated log after its snapshot."},
    MetricDefinition{
        Metric::RequestsRefused, MetricKind::Counter, "citronpitch_requests_refused_total", "listener limit",
        "Requests that were refused before they were read whole, by the limit that they exceeded."},
    MetricDefinition{Metric::LogLinesLost, MetricKind::Counter, "citronpitch_log_lines_lost_total", "",
                     "Lines of the log that were dropped, as its reader did not read."},
};

/// Bounds of the histogram buckets: the lower one of the first bucket, then the upper ones, from the duration
/// of one message to the client timeout.
const std::vector<double> bucketBoundsSeconds{0,   0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1,
                                              0.2, 0.3,   0.5,   0.75,  1,    1.5,  2,    5};

constexpr double microsecondsPerSecond = 1e6;

namespace histogram = boost::histogram;

using DurationAxis =
    histogram::axis::variable<double, boost::use_default, histogram::axis::option::overflow_t>;
using DurationHistogram = decltype(histogram::make_histogram(DurationAxis(bucketBoundsSeconds)));

struct HistogramValues
{
    DurationHistogram buckets = histogram::make_histogram(DurationAxis(bucketBoundsSeconds));
    double sum = 0;
};

const MetricDefinition &metricDefinition(Metric metric)
{
    return *std::find_if(catalogue.begin(), catalogue.end(),
                         [&](const auto &it) { return it.metric == metric; });
}

/// Escapes backslashes, quotes and newlines as the Prometheus text format requires.
std::string escaped(const std::string &value)
{
    std::string text;
    for (const char it : value) {
        if (it == '\\' || it == '"')
            text += '\\';
        text += it == '\n' ? std::string("\\n") : std::string(1, it);
    }
    return text;
}

std::string labelText(const MetricDefinition &entry, const std::vector<std::string> &values)
{
    std::istringstream names{std::string(entry.labels)};
    std::string text;
    std::string name;
    for (std::size_t i = 0; names >> name && i < values.size(); ++i)
        text += (text.empty() ? "" : ",") + name + "=\"" + escaped(values[i]) + "\"";
    return text;
}

std::string inBraces(const std::string &labels)
{
    return labels.empty() ? std::string() : "{" + labels + "}";
}

std::string_view typeOf(MetricKind kind)
{
    switch (kind) {
    case MetricKind::Counter:
        return "counter";
    case MetricKind::Gauge:
        return "gauge";
    case MetricKind::Histogram:
        break;
    }
    return "histogram";
}

void writeHistogram(std::ostream &out, std::string_view name, const std::string &labels,
                    const HistogramValues &values)
{
    double count = 0;
    const auto prefix = labels.empty() ? std::string() : labels + ",";
    const auto &axis = values.buckets.axis();
    for (int i = 0; i <= axis.size(); ++i) {
        count += values.buckets.at(i);
        out << name << "_bucket{" << prefix << "le=\"";
        if (i < axis.size())
            out << axis.bin(i).upper();
        else
            out << "+Inf";
        out << "\"} " << count << "\n";
    }
    out << name << "_sum" << inBraces(labels) << " " << values.sum << "\n";
    out << name << "_count" << inBraces(labels) << " " << count << "\n";
}

} // namespace

struct Metrics::Values
{
    /// Label values are formatted only when the metrics are exported.
    using Key = std::pair<Metric, std::vector<std::string>>;

    /// Counters and gauges.
    std::map<Key, double> numbers;
    std::map<Key, HistogramValues> times;
};

std::span<const MetricDefinition> metricCatalogue()
{
    return catalogue;
}

Metrics::Metrics()
    : m_values(std::make_unique<Values>())
{
}

Metrics::~Metrics() = default;

void Metrics::increment(Metric metric, const std::vector<std::string> &labels)
{
    ++m_values->numbers[{metric, labels}];
}

void Metrics::setGauge(Metric metric, const std::vector<std::string> &labels, double value)
{
    m_values->numbers[{metric, labels}] = value;
}

void Metrics::setTotal(Metric metric, const std::vector<std::string> &labels, std::uint64_t total)
{
    m_values->numbers[{metric, labels}] = static_cast<double>(total);
}

void Metrics::observe(Metric metric, const std::vector<std::string> &labels, Duration time)
{
    auto &values = m_values->times[{metric, labels}];
    const double seconds =
        static_cast<double>(std::max<std::int64_t>(0, time.count())) / microsecondsPerSecond;
    values.buckets(seconds);
    values.sum += seconds;
}

void Metrics::clearGauges()
{
    std::erase_if(m_values->numbers,
                  [](const auto &it) { return metricDefinition(it.first.first).kind == MetricKind::Gauge; });
}

std::string Metrics::prometheusText() const
{
    std::ostringstream out;
    out.precision(12);
    for (const auto &entry : catalogue) {
        out << "# HELP " << entry.name << " " << entry.description << "\n# TYPE " << entry.name << " "
            << typeOf(entry.kind) << "\n";
        for (const auto &[key, value] : m_values->numbers) {
            if (key.first == entry.metric)
                out << entry.name << inBraces(labelText(entry, key.second)) << " " << value << "\n";
        }
        for (const auto &[key, values] : m_values->times) {
            if (key.first == entry.metric)
                writeHistogram(out, entry.name, labelText(entry, key.second), values);
        }
    }
    return out.str();
}

} // namespace Citronpitch
