#include "soak/soak_log.h"

#include <cstdio>

#include "aio/wait.h"
#include "base/text.h"

namespace bronzecross {

size_t SoakLog::BeginFault(FaultSpan span) {
  absl::MutexLock lock(&m_mutex);
  span.m_from = MonotonicNow();
  span.m_to = kNever;
  if (m_prints) {
    std::printf("%6lld ms fault %s target %d\n",
                static_cast<long long>((span.m_from - m_started).count()),
                span.m_name.c_str(), span.m_target);
  }
  m_faults.push_back(std::move(span));
  return m_faults.size() - 1;
}

void SoakLog::EndFault(size_t index) {
  absl::MutexLock lock(&m_mutex);
  m_faults[index].m_to = MonotonicNow();
}

void SoakLog::AddCall(SoakCall call) {
  absl::MutexLock lock(&m_mutex);
  m_calls.push_back(std::move(call));
}

void SoakLog::AddKey(std::string key) {
  absl::MutexLock lock(&m_mutex);
  m_keys.push_back({std::move(key), MonotonicNow()});
}

void SoakLog::AddViolation(const std::string& text) {
  absl::MutexLock lock(&m_mutex);
  const std::string line =
      Concat((MonotonicNow() - m_started).count(), " ms: ", text);
  std::printf("VIOLATION %s\n", line.c_str());
  m_violations.push_back(line);
}

std::vector<FaultSpan> SoakLog::Faults() const {
  absl::MutexLock lock(&m_mutex);
  return m_faults;
}

std::vector<SoakCall> SoakLog::Calls() const {
  absl::MutexLock lock(&m_mutex);
  return m_calls;
}

std::vector<KeyChange> SoakLog::Keys() const {
  absl::MutexLock lock(&m_mutex);
  return m_keys;
}

std::string SoakLog::CurrentKey() const {
  absl::MutexLock lock(&m_mutex);
  return m_keys.empty() ? "" : m_keys.back().m_key;
}

std::vector<std::string> SoakLog::Violations() const {
  absl::MutexLock lock(&m_mutex);
  return m_violations;
}

}  // namespace bronzecross
