#include "vm_lease.h"

#include <absl/time/time.h>

#include "base/log.h"

namespace bronzecross {

VmLease::VmLease(KvClient& store,
                 std::string key,
                 std::string record,
                 Millis ttl)
    : m_store(store),
      m_key(std::move(key)),
      m_record(std::move(record)),
      m_ttl(ttl) {}

VmLease::~VmLease() {
  Stop();
}

void VmLease::Start() {
  m_thread = std::thread([this] { Run(); });
}

void VmLease::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

bool VmLease::IsHeld() const {
  absl::MutexLock lock(&m_mutex);
  return m_lease.m_id != 0 && MonotonicNow() < m_lease.m_expires;
}

KvLease VmLease::Current() const {
  absl::MutexLock lock(&m_mutex);
  return m_lease;
}

Millis VmLease::Expires() const {
  absl::MutexLock lock(&m_mutex);
  return m_lease.m_id != 0 ? m_lease.m_expires : Millis(0);
}

void VmLease::Run() {
  while (true) {
    const Status renewed = Renew();
    if (!renewed) {
      LogError(Severity::kWarning, LogPart::kStore,
               "Cannot renew this VM's lease.", renewed.error());
    }
    absl::MutexLock lock(&m_mutex);
    if (m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                 absl::Milliseconds((m_ttl / 3).count()))) {
      break;
    }
  }
  absl::MutexLock lock(&m_mutex);
  if (m_lease.m_id != 0) {
    const Status revoked = m_store.RevokeLease(m_lease.m_id);
    m_lease = KvLease{};
    if (!revoked) {
      LogError(Severity::kWarning, LogPart::kStore,
               "Cannot revoke this VM's lease.", revoked.error());
    }
  }
}

Status VmLease::Renew() {
  KvLease lease;
  {
    absl::MutexLock lock(&m_mutex);
    lease = m_lease;
  }
  if (lease.m_id != 0) {
    const Result<KvLease> renewed = m_store.KeepLeaseAlive(lease.m_id);
    if (renewed) {
      absl::MutexLock lock(&m_mutex);
      m_lease = *renewed;
      return {};
    }
    if (renewed.error().m_code != ResultCode::kNotFound) {
      return tl::unexpected<Error>(renewed.error());
    }
  }
  const Result<KvLease> granted = m_store.GrantLease(m_ttl);
  if (!granted) {
    return tl::unexpected<Error>(granted.error());
  }
  const Result<std::optional<KvEntry>> old = m_store.Get(m_key);
  if (!old) {
    return tl::unexpected<Error>(old.error());
  }
  const Result<int64_t> written = m_store.Commit(
      {{m_key, m_record, *old ? (*old)->m_mod_revision : 0, granted->m_id}});
  if (!written) {
    return tl::unexpected<Error>(written.error());
  }
  absl::MutexLock lock(&m_mutex);
  m_lease = *granted;
  return {};
}

}  // namespace bronzecross
