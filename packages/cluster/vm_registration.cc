#include "cluster/vm_registration.h"

#include "aio/wait.h"
#include "base/log.h"

namespace bronzecross {
namespace {

// How long the registration of a VM that died stays. Short, since its share of
// the limits and its jobs wait for that.
constexpr Millis kLeaseTtl{3'000};

// Two renewals fit into a lease, with time for one that first waits for a dead
// path. Renewals are the most frequent calls of a quiet day.
constexpr Millis kRenewEvery{1'400};

// Pause after a failed call.
constexpr Millis kRetryPause{120};

}  // namespace

Task<bool> VmRegistration::Grant() {
  const Millis asked = BootNow();
  const Result<KvLease> lease = co_await m_kv.GrantLease(kLeaseTtl);
  if (!lease) {
    co_return false;
  }
  m_lease = lease->m_id;
  m_held_until = asked + lease->m_ttl;
  m_written = false;
  co_return true;
}

Task<bool> VmRegistration::Write() {
  KvTransaction transaction;
  KvPut put;
  put.m_key = VmKey(m_self.m_id);
  put.m_value = EncodeVmRecord(m_self);
  put.m_lease = m_lease;
  transaction.m_puts.push_back(std::move(put));
  const Result<KvOutcome> outcome = co_await m_kv.Transact(transaction);
  if (!outcome && outcome.error().m_code == ResultCode::kNotFound) {
    m_lease = 0;
  }
  m_written = outcome && outcome->m_applied;
  if (m_written) {
    Log(Severity::kInfo, LogPart::kMembership, "Registered this VM.",
        {{"vm", m_self.m_id}, {"lease", m_lease}});
  }
  co_return m_written;
}

Task<bool> VmRegistration::Renew() {
  const Millis asked = BootNow();
  const Status kept = co_await m_kv.KeepLease(m_lease);
  if (kept) {
    m_held_until = asked + kLeaseTtl;
    co_return true;
  }
  if (kept.error().m_code == ResultCode::kNotFound) {
    Log(Severity::kWarning, LogPart::kMembership, "The lease has ended.",
        {{"lease", m_lease}});
    m_lease = 0;
  }
  co_return false;
}

Task<> VmRegistration::Run() {
  while (!m_ended) {
    const Millis began = MonotonicNow();
    bool done = false;
    if (m_lease == 0) {
      done = co_await Grant();
    } else if (!m_written) {
      done = co_await Write();
    } else {
      done = co_await Renew();
    }
    const bool is_complete = done && m_written;
    if (is_complete) {
      // A renewal that first tried a dead path took long; the next one is due
      // as usual.
      co_await WaitAny(began + kRenewEvery);
    } else if (!done) {
      co_await Sleep(kRetryPause);
    }
  }
}

Task<> VmRegistration::End() {
  m_ended = true;
  if (m_lease != 0) {
    co_await m_kv.EndLease(m_lease);
    m_lease = 0;
  }
}

bool VmRegistration::IsLeaseHeld() const {
  return m_lease != 0 && m_written && BootNow() < m_held_until;
}

}  // namespace bronzecross
