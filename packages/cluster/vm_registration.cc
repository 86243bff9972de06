#include "cluster/vm_registration.h"

#include "aio/wait.h"
#include "base/log.h"

namespace bronzecross {
namespace {

// How long the registration of a VM that died stays. Short, since its share of
// the limits and its jobs wait for that.
constexpr Millis kLeaseTtl{3'000};

// Three renewals fit into a lease.
constexpr Millis kRenewEvery{1'000};

// Pause after a failed call.
constexpr Millis kRetryPause{250};

}  // namespace

Task<bool> VmRegistration::Register() {
  const Millis asked = BootNow();
  const Result<KvLease> lease = co_await m_kv.GrantLease(kLeaseTtl);
  if (!lease) {
    co_return false;
  }
  KvTransaction transaction;
  KvPut put;
  put.m_key = VmKey(m_self.m_id);
  put.m_value = EncodeVmRecord(m_self);
  put.m_lease = lease->m_id;
  transaction.m_puts.push_back(std::move(put));
  const Result<KvOutcome> outcome = co_await m_kv.Transact(transaction);
  if (!outcome || !outcome->m_applied) {
    co_return false;
  }
  m_lease = lease->m_id;
  m_held_until = asked + lease->m_ttl;
  Log(Severity::kInfo, LogPart::kMembership, "Registered this VM.",
      {{"vm", m_self.m_id}, {"lease", m_lease}});
  co_return true;
}

Task<> VmRegistration::Run() {
  while (!m_ended) {
    if (m_lease == 0) {
      const bool registered = co_await Register();
      co_await Sleep(registered ? kRenewEvery : kRetryPause);
      continue;
    }
    const Millis asked = BootNow();
    const Status kept = co_await m_kv.KeepLease(m_lease);
    if (kept) {
      m_held_until = asked + kLeaseTtl;
      co_await Sleep(kRenewEvery);
      continue;
    }
    if (kept.error().m_code == ResultCode::kNotFound) {
      Log(Severity::kWarning, LogPart::kMembership, "The lease has ended.",
          {{"lease", m_lease}});
      m_lease = 0;
      continue;
    }
    co_await Sleep(kRetryPause);
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
  return m_lease != 0 && BootNow() < m_held_until;
}

}  // namespace bronzecross
