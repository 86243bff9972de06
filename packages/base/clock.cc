#include "base/clock.h"

#include <chrono>
#include <thread>

namespace bronzecross {

Millis MonotonicNow() {
  return Millis(std::chrono::duration_cast<std::chrono::milliseconds>(
                    std::chrono::steady_clock::now().time_since_epoch())
                    .count());
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
