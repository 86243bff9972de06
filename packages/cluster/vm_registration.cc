#include "cluster/vm_registration.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"

namespace bronzecross {
namespace {

// Bounds of the lease TTL, and the TTL per VM of the fleet. With these values
// all VMs together make about 21 renewals a second up to 300 VMs, and 107 with
// 1,600 VMs.
constexpr Millis kMinTtl{3'000};
constexpr Millis kTtlPerVm{100};
constexpr Millis kMaxTtl{30'000};

// A VM renews twice per lease. The margin leaves time for a renewal that first
// waits for a path that has failed. Renewals are the most frequent calls of an
// idle fleet.
constexpr Millis kRenewMargin{200};

// A lease is replaced if its TTL is too short or too long by this factor, so
// that single VMs that join or leave cause no calls.
constexpr int64_t kTtlTolerance = 2;

// A lease with a short TTL is replaced only once its renewals have cost as much
// as the replacement. A fleet that starts all at once would otherwise register
// twice. A very large fleet replaces its leases at once, as their renewals
// together approach the rate of the store.
constexpr Millis kMinReplacedAge{60'000};
constexpr int kMaxPatientFleet = 300;

// How long the first lease waits for the size of the fleet, which is read from
// the store within milliseconds. Replacing a lease with an unsuitable TTL costs
// three calls.
constexpr Millis kFleetSizeWait{300};

Millis RenewInterval(Millis ttl) {
  return ttl / 2 - kRenewMargin / 2;
}

// Bounds of the pause after a failed call. The longest pause delays the next
// renewal by less than the remaining time of the lease. All VMs of a large
// fleet together still make over a hundred attempts a second.
constexpr Millis kFirstRetryPause{120};
constexpr Millis kSmallFleetMaxRetryPause{480};
constexpr Millis kRetryPausePerVm{8};

}  // namespace

Millis RegistrationTtl(int vms) {
  return std::clamp(kTtlPerVm * vms, kMinTtl, kMaxTtl);
}

Millis RenewalRetryPause(int failures, int vms) {
  const int doublings = std::clamp(failures - 1, 0, 8);
  const Millis max_pause =
      std::clamp(kRetryPausePerVm * vms, kSmallFleetMaxRetryPause, kMinTtl / 3);
  return std::min(kFirstRetryPause * (int64_t{1} << doublings), max_pause);
}

bool ShouldReplaceLease(Millis ttl, Millis age, int vms) {
  const Millis target_ttl = RegistrationTtl(vms);
  if (ttl >= target_ttl * kTtlTolerance) {
    return true;
  }
  return target_ttl >= ttl * kTtlTolerance &&
         (age >= kMinReplacedAge || vms > kMaxPatientFleet);
}

Task<bool> VmRegistration::Grant() {
  const Millis requested_at = BootNow();
  const Result<KvGrantedLease> lease =
      co_await m_kv.GrantLease(RegistrationTtl(m_fleet_size));
  if (!lease) {
    co_return false;
  }
  m_lease = lease->m_id;
  m_ttl = lease->m_ttl;
  m_held_until = requested_at + m_ttl;
  m_granted_at = MonotonicNow();
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

Task<bool> VmRegistration::Replace() {
  const int64_t old = m_lease;
  const bool granted = co_await Grant();
  if (!granted) {
    co_return false;
  }
  // If this fails, the record may belong to either lease, and the next step
  // writes it again.
  const bool moved = co_await Write();
  if (moved) {
    co_await m_kv.EndLease(old);
  }
  co_return moved;
}

Task<bool> VmRegistration::Renew() {
  const Millis requested_at = BootNow();
  const Status kept = co_await m_kv.KeepLease(m_lease);
  if (kept) {
    m_held_until = requested_at + m_ttl;
    co_return true;
  }
  if (kept.error().m_code == ResultCode::kNotFound) {
    Log(Severity::kWarning, LogPart::kMembership, "The lease has ended.",
        {{"lease", m_lease}});
    m_lease = 0;
    m_written = false;
  }
  co_return false;
}

void VmRegistration::SetFleetSize(int vms) {
  m_fleet_size = vms;
  m_size_known.NotifyAll();
}

Task<> VmRegistration::Run() {
  const Millis wait_until = MonotonicNow() + kFleetSizeWait;
  while (m_fleet_size == 0 && MonotonicNow() < wait_until) {
    WaitAny wait(wait_until);
    wait.Add(m_size_known);
    co_await wait;
  }
  int failures = 0;  // in a row
  while (!m_ended) {
    const Millis began = MonotonicNow();
    bool done = false;
    if (m_lease == 0) {
      done = co_await Grant();
    } else if (!m_written) {
      done = co_await Write();
    } else if (ShouldReplaceLease(m_ttl, began - m_granted_at, m_fleet_size)) {
      done = co_await Replace();
    } else {
      done = co_await Renew();
    }
    failures = done ? 0 : failures + 1;
    const bool is_complete = done && m_written;
    if (is_complete) {
      // The interval counts from the start of the renewal, so that one that was
      // slow because of a failed path doesn't delay the next one.
      co_await WaitAny(began + RenewInterval(m_ttl));
    } else if (!done) {
      co_await Sleep(RenewalRetryPause(failures, m_fleet_size));
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
