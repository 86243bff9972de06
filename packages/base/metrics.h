// Metrics of this process, kept by prometheus-cpp and served on the admin port.

#ifndef BRONZECROSS_BASE_METRICS_H_
#define BRONZECROSS_BASE_METRICS_H_

#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

namespace bronzecross {

using MetricLabels =
    std::initializer_list<std::pair<std::string_view, std::string_view>>;

// Adds `amount` to a counter, which is created on first use.
void CountMetric(std::string_view name,
                 MetricLabels labels = {},
                 double amount = 1);

// Sets a gauge, which is created on first use.
void SetGauge(std::string_view name, MetricLabels labels, double value);

// Records a duration in seconds in a histogram with buckets from 1 ms to 60 s.
void ObserveSeconds(std::string_view name, MetricLabels labels, double seconds);

// Returns all metrics in the Prometheus text format.
std::string SerializeMetrics();

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_METRICS_H_
