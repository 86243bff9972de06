// Counts one request as in flight on an upstream for as long as it lives.

#ifndef BRONZECROSS_UPSTREAMS_IN_FLIGHT_H_
#define BRONZECROSS_UPSTREAMS_IN_FLIGHT_H_

#include <atomic>
#include <cstdint>
#include <memory>

namespace bronzecross {

using InFlightCounter = std::shared_ptr<std::atomic<int64_t>>;

class InFlight {
 public:
  InFlight() = default;
  explicit InFlight(InFlightCounter counter);
  ~InFlight();
  InFlight(InFlight&& other) = default;
  InFlight& operator=(InFlight&& other);

 private:
  InFlightCounter m_counter;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_IN_FLIGHT_H_
