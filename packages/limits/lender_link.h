// Exchanges limits.borrow messages with one other VM: one message for all
// workspaces together, one at a time.

#ifndef BRONZECROSS_LIMITS_LENDER_LINK_H_
#define BRONZECROSS_LIMITS_LENDER_LINK_H_

#include <functional>
#include <string>
#include <thread>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "membership/membership.h"

namespace bronzecross {

struct LenderLinkHandlers {
  // The message to send now; null: nothing to say.
  std::function<nlohmann::json()> m_make;
  // The answer to the message sent at `sent`, or null if none came.
  std::function<void(const nlohmann::json& answer, Millis sent)> m_take;
};

class LenderLink {
 public:
  LenderLink(Membership& membership,
             std::string vm,
             LenderLinkHandlers handlers);
  ~LenderLink();

  // Asks for a message soon, or at once if a request waits. Returns a ticket
  // for IsAnswered().
  int64_t Wake(bool urgent);
  // Whether a message made after Wake() returned `ticket` was answered, or the
  // VM is not answering, so that waiting for it makes no sense.
  bool IsAnswered(int64_t ticket) const;

  void Stop();

 private:
  void Run();
  bool WaitForWork();

  Membership& m_membership;
  const std::string m_vm;
  const LenderLinkHandlers m_handlers;
  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  bool m_urgent ABSL_GUARDED_BY(m_mutex) = false;
  int64_t m_wanted ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_started ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_answered ABSL_GUARDED_BY(m_mutex) = 0;
  // When the exchange under way was sent; zero: none is.
  Millis m_sent ABSL_GUARDED_BY(m_mutex);
  Millis m_last_sent ABSL_GUARDED_BY(m_mutex);
  // No message is sent before this time, after a failure.
  Millis m_quiet_until ABSL_GUARDED_BY(m_mutex);
  int m_failures ABSL_GUARDED_BY(m_mutex) = 0;
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_LENDER_LINK_H_
