#include "batch/result_outbox.h"

#include <algorithm>

#include "base/log.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr size_t kSendThreads = 8;
constexpr size_t kMaxSendItems = 200;
constexpr size_t kMaxSendBytes = 8 << 20;
constexpr Millis kSendTimeout{5000};
constexpr Millis kRetryDelay{300};
// Outcomes of a job that no VM has announced for this long are dropped. By then
// the job has ended, or its owner was lost in a store outage and the takeover
// is still to come.
constexpr Millis kUnannouncedTimeout{600'000};

}  // namespace

ResultOutbox::ResultOutbox(JobContext& context, AnnouncedJobs& announced_jobs)
    : m_context(context),
      m_announced_jobs(announced_jobs),
      m_send_pool(kSendThreads) {}

void ResultOutbox::Add(const std::string& job,
                       const std::string& owner,
                       ItemOutcome outcome) {
  absl::MutexLock lock(&m_mutex);
  JobQueue& queue = m_queues[job];
  queue.m_owner = owner;
  queue.m_outcomes.push_back(std::move(outcome));
}

size_t ResultOutbox::Size() const {
  absl::MutexLock lock(&m_mutex);
  size_t size = 0;
  for (const auto& [job, queue] : m_queues) {
    size += queue.m_outcomes.size();
  }
  return size;
}

std::vector<uint64_t> ResultOutbox::Indexes(const std::string& job) const {
  std::vector<uint64_t> indexes;
  absl::MutexLock lock(&m_mutex);
  const auto found = m_queues.find(job);
  if (found != m_queues.end()) {
    for (const ItemOutcome& outcome : found->second.m_outcomes) {
      indexes.push_back(outcome.m_index);
    }
  }
  return indexes;
}

void ResultOutbox::SendDue() {
  const Millis now = MonotonicNow();
  std::map<std::string, std::string> owners;
  for (const AnnouncedJob& job : m_announced_jobs.Jobs(now)) {
    owners[job.m_id] = job.m_owner;
  }
  absl::MutexLock lock(&m_mutex);
  for (auto it = m_queues.begin(); it != m_queues.end();) {
    JobQueue& queue = it->second;
    const auto owner = owners.find(it->first);
    if (owner != owners.end()) {
      queue.m_owner = owner->second;
      queue.m_unannounced_since = Millis(0);
    } else if (queue.m_unannounced_since == Millis(0)) {
      queue.m_unannounced_since = now;
    }
    const bool expired = queue.m_unannounced_since != Millis(0) &&
                         now - queue.m_unannounced_since > kUnannouncedTimeout;
    if (!queue.m_sending && (queue.m_outcomes.empty() || expired)) {
      it = m_queues.erase(it);
      continue;
    }
    if (!queue.m_sending && now >= queue.m_next_send) {
      queue.m_sending = true;
      size_t bytes = 0;
      std::vector<ItemOutcome> outcomes;
      for (const ItemOutcome& outcome : queue.m_outcomes) {
        if (outcomes.size() >= kMaxSendItems || bytes >= kMaxSendBytes) {
          break;
        }
        bytes += outcome.m_line.size() + outcome.m_partial.size();
        outcomes.push_back(outcome);
      }
      m_send_pool.Submit([this, job = it->first, to = queue.m_owner,
                          outcomes = std::move(outcomes)]() mutable {
        Send(job, to, std::move(outcomes));
      });
    }
    ++it;
  }
}

void ResultOutbox::Send(const std::string& job,
                        const std::string& owner,
                        std::vector<ItemOutcome> outcomes) {
  json results = json::array();
  for (const ItemOutcome& outcome : outcomes) {
    results.push_back(OutcomeToJson(outcome));
  }
  const Result<json> done = m_context.m_call(
      owner, "batch.done", {{"job", job}, {"results", results}}, kSendTimeout);
  absl::MutexLock lock(&m_mutex);
  JobQueue& queue = m_queues[job];
  queue.m_sending = false;
  if (done) {
    // Outcomes are only added at the end, so the ones sent are the first.
    queue.m_outcomes.erase(
        queue.m_outcomes.begin(),
        queue.m_outcomes.begin() + static_cast<ptrdiff_t>(outcomes.size()));
    return;
  }
  queue.m_next_send = MonotonicNow() + kRetryDelay;
  Log(Severity::kInfo, LogPart::kBatch,
      "Cannot report results; retrying later.",
      {{"job", job},
       {"owner", owner},
       {"results", outcomes.size()},
       {"error", done.error().m_message}});
}

void ResultOutbox::Drain(Millis timeout) {
  const Millis deadline = MonotonicNow() + timeout;
  while (Size() > 0 && MonotonicNow() < deadline) {
    SendDue();
    SleepFor(Millis(10));
  }
}

}  // namespace bronzecross
