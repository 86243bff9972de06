// Exchanges limits.borrow messages with one other VM. Each message covers all
// workspaces, and only one is in flight at a time.

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
  // Returns the message to send now, or null if there is nothing to send.
  std::function<nlohmann::json()> m_make_request;
  // Receives the reply to the message sent at `sent`, or null if none arrived.
  std::function<void(const nlohmann::json& reply, Millis sent)> m_on_reply;
};

class LenderLink {
 public:
  LenderLink(Membership& membership,
             std::string vm,
             LenderLinkHandlers handlers);
  ~LenderLink();

  // Schedules a message, to be sent at once if `urgent` (a request waits).
  // Returns a ticket for IsFinished().
  int64_t Wake(bool urgent);
  // Whether the exchange of a message made after Wake() returned `ticket` has
  // finished, or the VM is slow or unreachable and not worth waiting for.
  bool IsFinished(int64_t ticket) const;

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
  int64_t m_last_ticket ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_started_ticket ABSL_GUARDED_BY(m_mutex) = 0;
  int64_t m_finished_ticket ABSL_GUARDED_BY(m_mutex) = 0;
  // When the message in flight was sent; zero: none is in flight.
  Millis m_sent ABSL_GUARDED_BY(m_mutex);
  Millis m_last_sent ABSL_GUARDED_BY(m_mutex);
  // After a failure, no message is sent before this time.
  Millis m_backoff_until ABSL_GUARDED_BY(m_mutex);
  int m_failures ABSL_GUARDED_BY(m_mutex) = 0;
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_LENDER_LINK_H_
