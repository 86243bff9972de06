// What callers saw during a scenario, and the violations found in it.

#ifndef BRONZECROSS_TESTS_PROMISES_HISTORY_H_
#define BRONZECROSS_TESTS_PROMISES_HISTORY_H_

#include <cstdint>
#include <string>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "base/clock.h"

namespace bronzecross {

// One admitted request: it was admitted at some time in [m_sent, m_received].
struct Admission {
  std::string m_workspace;
  Millis m_sent;
  Millis m_received;
};

// Thread-safe.
class History {
 public:
  void AddRequest();
  void AddAdmission(Admission admission);
  void AddItems(int64_t count);
  void AddViolation(const std::string& text);
  // Something worth reading that breaks no promise.
  void AddNote(const std::string& text);

  int64_t Requests() const;
  int64_t Items() const;
  std::vector<Admission> Admissions() const;
  std::vector<std::string> Violations() const;

 private:
  mutable absl::Mutex m_mutex;
  int64_t m_requests ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_items ABSL_GUARDED_BY(m_mutex) = 0;
  std::vector<Admission> m_admissions ABSL_GUARDED_BY(m_mutex);
  std::vector<std::string> m_violations ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_PROMISES_HISTORY_H_
