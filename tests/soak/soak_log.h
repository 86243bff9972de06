// What happened during a soak: faults, calls, jobs, and violations found.

#ifndef BRONZECROSS_TESTS_SOAK_SOAK_LOG_H_
#define BRONZECROSS_TESTS_SOAK_SOAK_LOG_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "soak/kept_connection.h"

namespace bronzecross {

// What a fault strikes.
enum class FaultPlace { kVm, kStore, kEngine, kOperator };

// A fault from its beginning to its end; the end is kNever until it is known.
struct FaultSpan {
  std::string m_name;
  FaultPlace m_place = FaultPlace::kVm;
  int m_target = 0;  // index of the VM or engine
  Millis m_from;
  Millis m_to;
};

enum class RouteUse { kPlain, kOnce, kStream, kResume };

// An online request as its caller saw it.
struct SoakCall {
  std::string m_id;
  int m_vm = 0;
  RouteUse m_use = RouteUse::kPlain;
  std::string m_key;
  Millis m_sent;
  Millis m_ended;
  CallEnd m_end = CallEnd::kNotSent;
  int m_status = 0;
};

// A job as its caller saw it.
struct SoakJob {
  std::string m_id;
  int m_items = 0;
  bool m_accepted = false;
  // An attempt had no definite end: the job may exist.
  bool m_may_exist = false;
  // Its caller asked to end it, and when that was acknowledged; zero: never.
  bool m_end_asked = false;
  Millis m_end_acknowledged;
  // Results by position, as first read.
  std::vector<std::string> m_seen;
};

// Keys in the order in which they came into force, with the time at which the
// store acknowledged it.
struct KeyChange {
  std::string m_key;
  Millis m_at;
};

// Thread-safe.
class SoakLog {
 public:
  explicit SoakLog(bool prints) : m_prints(prints) {}

  // Returns the index of the span, for EndFault().
  size_t BeginFault(FaultSpan span);
  void EndFault(size_t index);
  void AddCall(SoakCall call);
  void AddKey(std::string key);
  void AddViolation(const std::string& text);

  std::vector<FaultSpan> Faults() const;
  std::vector<SoakCall> Calls() const;
  std::vector<KeyChange> Keys() const;
  std::string CurrentKey() const;
  std::vector<std::string> Violations() const;

 private:
  const bool m_prints;
  const Millis m_started = MonotonicNow();
  mutable absl::Mutex m_mutex;
  std::vector<FaultSpan> m_faults ABSL_GUARDED_BY(m_mutex);
  std::vector<SoakCall> m_calls ABSL_GUARDED_BY(m_mutex);
  std::vector<KeyChange> m_keys ABSL_GUARDED_BY(m_mutex);
  std::vector<std::string> m_violations ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_SOAK_SOAK_LOG_H_
