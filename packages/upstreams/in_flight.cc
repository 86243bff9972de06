#include "upstreams/in_flight.h"

#include <utility>

namespace bronzecross {
namespace {

std::atomic<int64_t>& Counter(InFlightCounts& counts, Priority priority) {
  return priority == Priority::kOnline ? counts.m_online : counts.m_batch;
}

}  // namespace

InFlight::InFlight(std::shared_ptr<InFlightCounts> counts, Priority priority)
    : m_counts(std::move(counts)), m_priority(priority) {
  ++Counter(*m_counts, m_priority);
  ++m_counts->m_sent;
}

InFlight::~InFlight() {
  Release();
}

InFlight& InFlight::operator=(InFlight&& other) {
  if (this != &other) {
    Release();
    m_counts = std::move(other.m_counts);
    m_priority = other.m_priority;
  }
  return *this;
}

void InFlight::Release() {
  if (m_counts == nullptr) {
    return;
  }
  --Counter(*m_counts, m_priority);
  if (m_counts->m_signal != nullptr) {
    m_counts->m_signal->Notify();
  }
  m_counts.reset();
}

}  // namespace bronzecross
