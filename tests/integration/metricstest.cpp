#include "log/metrics.h"

#include <gtest/gtest.h>

using namespace Citronpitch;

// Label values with quotes, backslashes or newlines must not break the Prometheus text format.
TEST(MetricsTest, countersAndGaugesHaveLabels)
{
    Metrics metrics;
    metrics.increment(Metric::OrdersCompleted, {"start", "accepted"});
    metrics.increment(Metric::OrdersCompleted, {"start", "accepted"});
    metrics.setGauge(Metric::GroupFence, {"a\"b\\c\nd"}, 7);
    const auto text = metrics.prometheusText();
    EXPECT_NE(text.find("# TYPE citronpitch_orders_total counter\n"
                        "citronpitch_orders_total{order=\"start\",verdict=\"accepted\"} 2\n"),
              std::string::npos)
        << text;
    EXPECT_NE(text.find("citronpitch_group_fence{group=\"a\\\"b\\\\c\\nd\"} 7\n"), std::string::npos) << text;
}

// Gauges of removed objects must no longer be exported, while counters must never decrease.
TEST(MetricsTest, clearGaugesKeepsCounters)
{
    Metrics metrics;
    metrics.increment(Metric::OrdersCompleted, {"stop", "noAnswer"});
    metrics.setGauge(Metric::GroupFence, {"a"}, 7);
    metrics.clearGauges();
    EXPECT_EQ(metrics.prometheusText().find("group=\"a\""), std::string::npos);
    EXPECT_NE(metrics.prometheusText().find("verdict=\"noAnswer\"} 1\n"), std::string::npos);
}

// Each bucket must include the smaller ones, and a duration above all bounds must count in +Inf.
TEST(MetricsTest, histogramBucketsAreCumulative)
{
    Metrics metrics;
    for (const int ms : {0, 3, 120, 9000})
        metrics.observe(Metric::OrderDuration, {"poll"}, std::chrono::milliseconds(ms));
    const auto text = metrics.prometheusText();
    const auto has = [&](const std::string &line) { return text.find(line + "\n") != std::string::npos; };
    EXPECT_TRUE(has("citronpitch_order_seconds_bucket{order=\"poll\",le=\"0.001\"} 1")) << text;
    EXPECT_TRUE(has("citronpitch_order_seconds_bucket{order=\"poll\",le=\"0.005\"} 2"));
    EXPECT_TRUE(has("citronpitch_order_seconds_bucket{order=\"poll\",le=\"0.2\"} 3"));
    EXPECT_TRUE(has("citronpitch_order_seconds_bucket{order=\"poll\",le=\"5\"} 3"));
    EXPECT_TRUE(has("citronpitch_order_seconds_bucket{order=\"poll\",le=\"+Inf\"} 4"));
    EXPECT_TRUE(has("citronpitch_order_seconds_sum{order=\"poll\"} 9.123"));
    EXPECT_TRUE(has("citronpitch_order_seconds_count{order=\"poll\"} 4"));
}
