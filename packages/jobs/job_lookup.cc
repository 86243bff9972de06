#include "jobs/job_lookup.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"
#include "base/metrics.h"

namespace bronzecross {
namespace {

constexpr Millis kMinAbsenceTrust{250};
constexpr Millis kMaxAbsenceTrust{10'000};

// Interval between the reads of two jobs, and the longest time for which a
// query waits for its turn. They bound the store calls that requests with ever
// different paths can cause.
constexpr Millis kReadInterval{20};
constexpr Millis kMaxTurnWait{400};

// Maximum number of absent jobs that are remembered.
constexpr size_t kMaxAbsent = 4'096;

constexpr Millis kRetryAfter{500};

Status FailUnknown(std::string_view reason) {
  Error error;
  error.m_code = ResultCode::kStoreUnavailable;
  error.m_message = std::string(reason);
  error.m_retry_after = kRetryAfter;
  return tl::unexpected<Error>(error);
}

}  // namespace

Millis AbsenceTrust(Millis config_age) {
  return std::clamp(config_age, kMinAbsenceTrust, kMaxAbsenceTrust);
}

bool JobLookup::IsKnown(std::string_view job) const {
  return m_table.Has(job) || m_table.m_claims.Find(job) != nullptr;
}

Task<Status> JobLookup::WaitFor(ReadingPtr reading, Millis deadline) {
  while (!reading->m_done && MonotonicNow() < deadline) {
    WaitAny wait(deadline);
    wait.Add(reading->m_changed);
    co_await wait;
  }
  co_return reading->m_done
      ? reading->m_status
      : FailUnknown("the store didn't tell in time whether the job exists");
}

Task<> JobLookup::ReadHosts(ReadingPtr reading) {
  const Millis began = MonotonicNow();
  CountMetric("bronzecross_job_lookups_total", {{"of", "hosts"}});
  const Result<KvPage> page =
      co_await m_kv.Range(std::string(kJobHostPrefix), KvReadMode::kLatest);
  if (page) {
    m_hosts = DecodeJobHosts(page->m_items, WallNow());
    m_hosts_read_at = began;
  } else {
    reading->m_status =
        FailUnknown("the store doesn't tell which hosts have jobs");
  }
  m_hosts_reading = nullptr;
  reading->m_done = true;
  reading->m_changed.NotifyAll();
}

Task<> JobLookup::ReadJob(std::string job,
                          Millis config_since,
                          ReadingPtr reading) {
  const Millis began = MonotonicNow();
  CountMetric("bronzecross_job_lookups_total", {{"of", "job"}});
  const Result<StoredState> stored = co_await m_store.FindState(job);
  if (stored && stored->m_state.m_phase != JobPhase::kTentative) {
    reading->m_exists = true;
    m_on_found(job, *stored);
  } else if (stored) {
    reading->m_status = FailUnknown("the job may still be accepted");
  } else if (stored.error().m_code == ResultCode::kNotFound) {
    RememberAbsence(job, config_since, began);
  } else {
    reading->m_status =
        FailUnknown("the store doesn't tell whether the job exists");
  }
  m_readings.erase(job);
  reading->m_done = true;
  reading->m_changed.NotifyAll();
}

void JobLookup::RememberAbsence(std::string job,
                                Millis config_since,
                                Millis read_at) {
  if (m_absent.size() >= kMaxAbsent) {
    const Millis now = MonotonicNow();
    std::erase_if(m_absent,
                  [now](const auto& entry) { return entry.second <= now; });
  }
  if (m_absent.size() >= kMaxAbsent) {
    m_absent.clear();
  }
  m_absent[std::move(job)] = read_at + AbsenceTrust(read_at - config_since);
}

Task<Result<bool>> JobLookup::Exists(JobQuery query) {
  if (IsKnown(query.m_job)) {
    co_return true;
  }
  const Millis now = MonotonicNow();
  const bool are_hosts_fresh =
      m_hosts_read_at != Millis() &&
      now - m_hosts_read_at <
          AbsenceTrust(m_hosts_read_at - query.m_config_since);
  // A host that has had jobs stays listed.
  if (!are_hosts_fresh &&
      !MayHaveJobs(m_hosts, query.m_host, query.m_is_anonymous, m_retention,
                   WallNow())) {
    if (m_kv.IsUnreachable()) {
      co_return tl::unexpected<Error>(
          FailUnknown("the store is unreachable").error());
    }
    ReadingPtr hosts_reading = m_hosts_reading;
    if (hosts_reading == nullptr) {
      hosts_reading = std::make_shared<Reading>();
      m_hosts_reading = hosts_reading;
      Spawn(ReadHosts(hosts_reading));
    }
    const Status read = co_await WaitFor(hosts_reading, query.m_deadline);
    if (!read) {
      co_return tl::unexpected<Error>(read.error());
    }
  }
  if (!MayHaveJobs(m_hosts, query.m_host, query.m_is_anonymous, m_retention,
                   WallNow())) {
    co_return IsKnown(query.m_job);
  }
  const auto absent = m_absent.find(query.m_job);
  if (absent != m_absent.end() && MonotonicNow() < absent->second) {
    co_return IsKnown(query.m_job);
  }
  ReadingPtr reading;
  const auto pending = m_readings.find(query.m_job);
  if (pending != m_readings.end()) {
    reading = pending->second;
  } else {
    const Millis asked = MonotonicNow();
    const Millis turn = std::max(asked, m_next_read);
    if (m_kv.IsUnreachable() || turn - asked > kMaxTurnWait) {
      co_return tl::unexpected<Error>(
          FailUnknown("the store can't be asked for the job now").error());
    }
    m_next_read = turn + kReadInterval;
    reading = std::make_shared<Reading>();
    m_readings.emplace(query.m_job, reading);
    co_await WaitAny(turn);
    Spawn(ReadJob(query.m_job, query.m_config_since, reading));
  }
  const Status read = co_await WaitFor(reading, query.m_deadline);
  if (!read) {
    co_return tl::unexpected<Error>(read.error());
  }
  co_return reading->m_exists || IsKnown(query.m_job);
}

}  // namespace bronzecross
