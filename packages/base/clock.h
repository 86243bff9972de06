// The project's time type: whole milliseconds, for instants and durations.

#ifndef BRONZECROSS_BASE_CLOCK_H_
#define BRONZECROSS_BASE_CLOCK_H_

#include <compare>
#include <cstdint>

namespace bronzecross {

// A point in time or a duration in milliseconds. Instants from MonotonicNow()
// and WallNow() must not be mixed.
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

// Time since an arbitrary start; never goes back. Used for every deadline,
// lease and time-out.
Millis MonotonicNow();

// Like MonotonicNow(), but it also counts time for which the VM was suspended.
// Used for leases, which run on at the service that granted them.
Millis BootNow();

// Time since the Unix epoch. Used only in records that people or other
// machines read.
Millis WallNow();

void SleepFor(Millis duration);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_CLOCK_H_
