#include "base/metrics.h"

#include <map>
#include <memory>
#include <unordered_map>

#include <absl/strings/str_cat.h>
#include <absl/synchronization/mutex.h>
#include <prometheus/counter.h>
#include <prometheus/gauge.h>
#include <prometheus/histogram.h>
#include <prometheus/registry.h>
#include <prometheus/text_serializer.h>

namespace bronzecross {
namespace {

prometheus::Registry& Registry() {
  static prometheus::Registry registry;
  return registry;
}

std::map<std::string, std::string> ToMap(MetricLabels labels) {
  std::map<std::string, std::string> map;
  for (const std::pair<std::string_view, std::string_view>& label : labels) {
    map.emplace(label.first, label.second);
  }
  return map;
}

// Returns the metric with `name` and `labels` from a cache of the calling
// thread, or creates it. The lookup in the registry takes a lock and builds a
// map on each call. Cached references stay valid, since metrics live as long as
// the registry.
template <typename Metric, typename Create>
Metric& Lookup(std::string_view name,
               MetricLabels labels,
               const Create& create) {
  thread_local std::unordered_map<std::string, Metric*> cache;
  thread_local std::string key;
  key.assign(name);
  for (const std::pair<std::string_view, std::string_view>& label : labels) {
    key += '\0';
    key += label.first;
    key += '\0';
    key += label.second;
  }
  Metric*& metric = cache[key];
  if (metric == nullptr) {
    metric = &create();
  }
  return *metric;
}

}  // namespace

void CountMetric(std::string_view name, MetricLabels labels, double amount) {
  Lookup<prometheus::Counter>(name, labels, [&]() -> prometheus::Counter& {
    return prometheus::BuildCounter()
        .Name(std::string(name))
        .Register(Registry())
        .Add(ToMap(labels));
  }).Increment(amount);
}

void SetGauge(std::string_view name, MetricLabels labels, double value) {
  prometheus::BuildGauge()
      .Name(std::string(name))
      .Register(Registry())
      .Add(ToMap(labels))
      .Set(value);
}

void ObserveSeconds(std::string_view name,
                    MetricLabels labels,
                    double seconds) {
  static const prometheus::Histogram::BucketBoundaries kBoundaries = {
      0.001, 0.002, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2,
      0.5,   1,     2,     5,    10,   30,   60};
  Lookup<prometheus::Histogram>(name, labels, [&]() -> prometheus::Histogram& {
    return prometheus::BuildHistogram()
        .Name(std::string(name))
        .Register(Registry())
        .Add(ToMap(labels), kBoundaries);
  }).Observe(seconds);
}

std::string SerializeMetrics() {
  return prometheus::TextSerializer().Serialize(Registry().Collect());
}

}  // namespace bronzecross
