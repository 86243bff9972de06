#include "upstreams/in_flight.h"

#include <utility>

namespace bronzecross {

InFlight::InFlight(InFlightCounter counter) : m_counter(std::move(counter)) {
  ++*m_counter;
}

InFlight::~InFlight() {
  if (m_counter != nullptr) {
    --*m_counter;
  }
}

InFlight& InFlight::operator=(InFlight&& other) {
  if (m_counter != nullptr) {
    --*m_counter;
  }
  m_counter = std::move(other.m_counter);
  return *this;
}

}  // namespace bronzecross
