#include "base/clock.h"

#include <ctime>

#include <chrono>
#include <thread>

namespace bronzecross {

Millis MonotonicNow() {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now().time_since_epoch())
                    .count());
}

Millis BootNow() {
  timespec time = {};
  clock_gettime(CLOCK_BOOTTIME, &time);
  return Millis(static_cast<int64_t>(time.tv_sec) * 1000 +
                time.tv_nsec / 1'000'000);
}

Millis WallNow() {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::system_clock::now().time_since_epoch())
                    .count());
}

void SleepFor(Millis duration) {
  if (duration > Millis(0)) {
    std::this_thread::sleep_for(std::chrono::milliseconds(duration.count()));
  }
}

}  // namespace bronzecross
