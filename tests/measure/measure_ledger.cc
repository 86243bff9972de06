// Appends to one ledger from many threads while four daemons hold its copies,
// then the time to take it over from a writer whose VM is gone.

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <thread>
#include <vector>

#include "harness/ledger_vm.h"
#include "harness/percentile.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

constexpr int kThreads = 32;
constexpr size_t kRecordBytes = 512;
constexpr Millis kDuration{8000};
constexpr int kTakeovers = 10;

struct Appends {
  std::vector<double> m_latencies_ms;
  int64_t m_failed = 0;
};

double ElapsedMs(std::chrono::steady_clock::time_point start) {
  return std::chrono::duration<double, std::milli>(
             std::chrono::steady_clock::now() - start)
      .count();
}

Appends AppendUntil(LedgerWriter& writer, Millis end) {
  Appends appends;
  const std::vector<std::string> payloads = {std::string(kRecordBytes, 'x')};
  while (MonotonicNow() < end) {
    const std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
    if (writer.Append(payloads)) {
      appends.m_latencies_ms.push_back(ElapsedMs(start));
    } else {
      ++appends.m_failed;
      break;
    }
  }
  return appends;
}

int MeasureLedger(uint64_t seed) {
  ClusterOptions options;
  options.m_vms = 4;
  options.m_data_vms = 4;
  options.m_engines.clear();
  options.m_services = 0;
  options.m_seed = seed;
  Cluster cluster(options);
  LedgerVm vm(cluster, "tester-0");
  LedgerVm other(cluster, "tester-1");
  Result<std::unique_ptr<LedgerWriter>> created = vm.Ledger().Create("led");
  if (!created) {
    std::fprintf(stderr, "%s\n", created.error().m_message.c_str());
    return 1;
  }
  std::unique_ptr<LedgerWriter> writer = std::move(*created);
  std::vector<Appends> parts(kThreads);
  std::vector<std::thread> threads;
  const Millis end = MonotonicNow() + kDuration;
  for (Appends& part : parts) {
    threads.emplace_back(
        [&part, &writer, end] { part = AppendUntil(*writer, end); });
  }
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::vector<double> latencies;
  int64_t failed = 0;
  for (const Appends& part : parts) {
    latencies.insert(latencies.end(), part.m_latencies_ms.begin(),
                     part.m_latencies_ms.end());
    failed += part.m_failed;
  }
  std::vector<double> recoveries;
  uint64_t lost = 0;
  for (int i = 0; i < kTakeovers; ++i) {
    const std::chrono::steady_clock::time_point start =
        std::chrono::steady_clock::now();
    Result<std::unique_ptr<LedgerWriter>> newer =
        (i % 2 == 0 ? other : vm).Ledger().TakeOver("led");
    const std::vector<std::string> payloads = {"after"};
    if (!newer || !(*newer)->Append(payloads)) {
      std::fprintf(stderr, "a takeover failed\n");
      return 1;
    }
    recoveries.push_back(ElapsedMs(start));
    const uint64_t wanted = latencies.size() + static_cast<size_t>(i) + 1;
    lost += (*newer)->NextSequence() < wanted ? 1 : 0;
    writer = std::move(*newer);
  }
  std::printf(
      "measure ledger appends_per_s=%.0f append_p50_ms=%.2f "
      "append_p99_ms=%.2f recover_ms=%.1f recover_max_ms=%.1f failed=%lld "
      "lost=%llu\n",
      static_cast<double>(latencies.size()) / kDuration.Seconds(),
      Percentile(latencies, 50), Percentile(latencies, 99),
      Percentile(recoveries, 50), Percentile(recoveries, 100),
      static_cast<long long>(failed), static_cast<unsigned long long>(lost));
  return 0;
}

const MeasurementRegistration kRegistration("ledger", MeasureLedger);

}  // namespace
}  // namespace bronzecross
