#include "promises/history.h"

#include <cstdio>

namespace bronzecross {

void History::AddRequest() {
  absl::MutexLock lock(&m_mutex);
  ++m_requests;
}

void History::AddAdmission(Admission admission) {
  absl::MutexLock lock(&m_mutex);
  m_admissions.push_back(std::move(admission));
}

void History::AddItems(int64_t count) {
  absl::MutexLock lock(&m_mutex);
  m_items += count;
}

void History::AddViolation(const std::string& text) {
  std::printf("VIOLATION %s\n", text.c_str());
  absl::MutexLock lock(&m_mutex);
  m_violations.push_back(text);
}

void History::AddNote(const std::string& text) {
  std::printf("%lld %s\n", static_cast<long long>(MonotonicNow().count()),
              text.c_str());
}

int64_t History::Requests() const {
  absl::MutexLock lock(&m_mutex);
  return m_requests;
}

int64_t History::Items() const {
  absl::MutexLock lock(&m_mutex);
  return m_items;
}

std::vector<Admission> History::Admissions() const {
  absl::MutexLock lock(&m_mutex);
  return m_admissions;
}

std::vector<std::string> History::Violations() const {
  absl::MutexLock lock(&m_mutex);
  return m_violations;
}

}  // namespace bronzecross
