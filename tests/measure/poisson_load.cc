#include "measure/poisson_load.h"

#include <algorithm>
#include <atomic>
#include <chrono>
#include <random>
#include <thread>

#include <absl/synchronization/mutex.h>

#include "base/random.h"

namespace bronzecross {
namespace {

using Clock = std::chrono::steady_clock;

double SinceMs(Clock::time_point start) {
  return std::chrono::duration<double, std::milli>(Clock::now() - start)
      .count();
}

}  // namespace

std::vector<double> PoissonArrivals(double rate_per_s,
                                    Millis duration,
                                    uint64_t seed) {
  Random random(seed);
  std::exponential_distribution<double> gap(rate_per_s / 1000.0);
  std::vector<double> arrivals;
  const double end = static_cast<double>(duration.count());
  for (double at = gap(random); at < end; at += gap(random)) {
    arrivals.push_back(at);
  }
  return arrivals;
}

double RunArrivals(const std::vector<double>& arrivals,
                   int threads,
                   const std::function<void(size_t)>& send) {
  const Clock::time_point start = Clock::now();
  std::atomic<size_t> next = 0;
  absl::Mutex mutex;
  double worst = 0;
  const auto run = [&] {
    for (size_t i = next++; i < arrivals.size(); i = next++) {
      std::this_thread::sleep_until(
          start + std::chrono::duration_cast<Clock::duration>(
                      std::chrono::duration<double, std::milli>(arrivals[i])));
      const double late = SinceMs(start) - arrivals[i];
      {
        absl::MutexLock lock(&mutex);
        worst = std::max(worst, late);
      }
      send(i);
    }
  };
  std::vector<std::thread> pool;
  for (int i = 0; i < threads; ++i) {
    pool.emplace_back(run);
  }
  for (std::thread& thread : pool) {
    thread.join();
  }
  return worst;
}

}  // namespace bronzecross
