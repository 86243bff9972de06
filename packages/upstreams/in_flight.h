// Counts of this VM's requests in flight on an upstream.

#ifndef BRONZECROSS_UPSTREAMS_IN_FLIGHT_H_
#define BRONZECROSS_UPSTREAMS_IN_FLIGHT_H_

#include <atomic>
#include <cstdint>
#include <memory>

#include "upstreams/change_signal.h"

namespace bronzecross {

// Traffic class of a request.
enum class Priority { kOnline, kBatch };

// This VM's requests in flight on one upstream.
struct InFlightCounts {
  std::atomic<int64_t> m_online = 0;
  std::atomic<int64_t> m_batch = 0;
  // Requests sent since the process started, including ended ones.
  std::atomic<int64_t> m_sent = 0;
  // Notified when a request ends; may be null.
  std::shared_ptr<ChangeSignal> m_signal;
};

// Counts one request as in flight until it is destroyed. Movable.
class InFlight {
 public:
  InFlight() = default;
  InFlight(std::shared_ptr<InFlightCounts> counts, Priority priority);
  ~InFlight();
  InFlight(InFlight&& other) = default;
  InFlight& operator=(InFlight&& other);

 private:
  void Release();

  std::shared_ptr<InFlightCounts> m_counts;
  Priority m_priority = Priority::kOnline;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_IN_FLIGHT_H_
