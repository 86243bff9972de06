// One file of 200,000 items uploaded in one request through one of six VMs,
// then read back through another.

#include <algorithm>
#include <atomic>
#include <chrono>
#include <cstdio>
#include <string>
#include <thread>

#include "harness/cluster.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr int kItems = 200'000;
constexpr int kAcceptingVm = 4;
constexpr int kReadingVm = 5;
constexpr Millis kSample{5};

std::string MakeInput(uint64_t seed) {
  std::string lines;
  for (int i = 0; i < kItems; ++i) {
    lines += "{\"custom_id\":\"item-" + std::to_string(i) +
             "\",\"method\":\"POST\",\"url\":\"/v1/chat/completions\","
             "\"body\":{\"model\":\"m\",\"max_tokens\":16,\"messages\":[{"
             "\"role\":\"user\",\"content\":\"prompt " +
             std::to_string(seed) + " " + std::to_string(i) + "\"}]}}\n";
  }
  return lines;
}

double SecondsSince(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double>(std::chrono::steady_clock::now() - start)
      .count();
}

int MeasureIntake(uint64_t seed) {
  ClusterOptions options;
  options.m_vms = 6;
  options.m_engines.clear();
  options.m_services = 0;
  options.m_seed = seed;
  Cluster cluster(options);
  const std::string input = MakeInput(seed);
  const int64_t idle_rss =
      ReadUsage(cluster.Vm(kAcceptingVm).Pid()).m_rss_bytes;
  std::atomic<bool> done = false;
  std::atomic<int64_t> peak = 0;
  std::thread sampler([&] {
    while (!done) {
      peak = std::max<int64_t>(
          peak, ReadUsage(cluster.Vm(kAcceptingVm).Pid()).m_rss_bytes);
      SleepFor(kSample);
    }
  });
  std::chrono::steady_clock::time_point start =
      std::chrono::steady_clock::now();
  const json file = cluster.Caller().CallJson(
      "POST", cluster.Url(kAcceptingVm) + "/v1/files", Cluster::Key(0), input);
  const double seconds = SecondsSince(start);
  done = true;
  sampler.join();
  if (!file.is_object() || !file.contains("id")) {
    std::fprintf(stderr, "the upload failed: %s\n", file.dump().c_str());
    return 1;
  }
  start = std::chrono::steady_clock::now();
  const Result<HttpAnswer> content =
      cluster.Caller().Call("GET",
                            cluster.Url(kReadingVm) + "/v1/files/" +
                                file["id"].get<std::string>() + "/content",
                            Cluster::Key(0));
  const double read_seconds = SecondsSince(start);
  const bool same = content && content->m_body == input;
  constexpr double kMb = 1 << 20;
  std::printf(
      "measure intake items_per_s=%.0f mb_per_s=%.1f ack_ms=%.0f "
      "peak_rss_mb=%.1f idle_rss_mb=%.1f file_mb=%.1f read_back_ms=%.0f "
      "read_back_equal=%d\n",
      kItems / seconds, static_cast<double>(input.size()) / kMb / seconds,
      seconds * 1000, static_cast<double>(peak) / kMb,
      static_cast<double>(idle_rss) / kMb,
      static_cast<double>(input.size()) / kMb, read_seconds * 1000,
      same ? 1 : 0);
  return 0;
}

const MeasurementRegistration kRegistration("intake", MeasureIntake);

}  // namespace
}  // namespace bronzecross
