// Millisecond time type and the system clocks.

#ifndef BRONZECROSS_BASE_CLOCK_H_
#define BRONZECROSS_BASE_CLOCK_H_

#include <compare>
#include <cstdint>

namespace bronzecross {

// A point in time or a duration in milliseconds. Instants of different clocks
// must not be mixed.
class Millis {
 public:
  constexpr Millis() = default;
  constexpr explicit Millis(int64_t count) : m_count(count) {}

  constexpr int64_t count() const { return m_count; }
  constexpr double Seconds() const {
    return static_cast<double>(m_count) / 1000.0;
  }

  constexpr auto operator<=>(const Millis&) const = default;
  constexpr Millis operator+(Millis other) const {
    return Millis(m_count + other.m_count);
  }
  constexpr Millis operator-(Millis other) const {
    return Millis(m_count - other.m_count);
  }
  constexpr Millis operator*(int64_t factor) const {
    return Millis(m_count * factor);
  }
  constexpr Millis operator/(int64_t divisor) const {
    return Millis(m_count / divisor);
  }
  constexpr Millis& operator+=(Millis other) {
    m_count += other.m_count;
    return *this;
  }

 private:
  int64_t m_count = 0;
};

// Returns the time since an arbitrary start. It never decreases. Used for all
// deadlines, leases and time-outs.
Millis MonotonicNow();

// Like MonotonicNow(), but includes the time during which the VM was suspended.
// Used for leases, which keep expiring at the service that granted them.
Millis BootNow();

// Returns the time since the Unix epoch. Used only in records that are read by
// people or on other machines.
Millis WallNow();

// Blocks the calling thread. Returns at once if `duration` is not positive.
void SleepFor(Millis duration);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_CLOCK_H_
