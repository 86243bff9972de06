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
constexpr Millis kRetryAfter{300};
// A job that nobody has announced for this long has ended, or its owner was
// lost in a store outage; takeover is then still to come.
constexpr Millis kOrphanLife{600'000};

}  // namespace

ResultOutbox::ResultOutbox(JobContext& context, OpenWork& open_work)
    : m_context(context), m_open_work(open_work), m_threads(kSendThreads) {}

void ResultOutbox::Add(const std::string& job,
                       const std::string& owner,
                       ItemOutcome outcome) {
  absl::MutexLock lock(&m_mutex);
  Box& box = m_boxes[job];
  box.m_owner = owner;
  box.m_outcomes.push_back(std::move(outcome));
}

size_t ResultOutbox::Size() const {
  absl::MutexLock lock(&m_mutex);
  size_t size = 0;
  for (const auto& [job, box] : m_boxes) {
    size += box.m_outcomes.size();
  }
  return size;
}

std::vector<uint64_t> ResultOutbox::Indexes(const std::string& job) const {
  std::vector<uint64_t> indexes;
  absl::MutexLock lock(&m_mutex);
  const auto found = m_boxes.find(job);
  if (found != m_boxes.end()) {
    for (const ItemOutcome& outcome : found->second.m_outcomes) {
      indexes.push_back(outcome.m_index);
    }
  }
  return indexes;
}

void ResultOutbox::Pump() {
  const Millis now = MonotonicNow();
  std::map<std::string, std::string> owners;
  for (const AnnouncedJob& job : m_open_work.Jobs(now)) {
    owners[job.m_id] = job.m_owner;
  }
  absl::MutexLock lock(&m_mutex);
  for (auto it = m_boxes.begin(); it != m_boxes.end();) {
    Box& box = it->second;
    const auto owner = owners.find(it->first);
    if (owner != owners.end()) {
      box.m_owner = owner->second;
      box.m_orphan_since = Millis(0);
    } else if (box.m_orphan_since == Millis(0)) {
      box.m_orphan_since = now;
    }
    const bool orphan = box.m_orphan_since != Millis(0) &&
                        now - box.m_orphan_since > kOrphanLife;
    if (!box.m_sending && (box.m_outcomes.empty() || orphan)) {
      it = m_boxes.erase(it);
      continue;
    }
    if (!box.m_sending && now >= box.m_not_before) {
      box.m_sending = true;
      size_t bytes = 0;
      std::vector<ItemOutcome> outcomes;
      for (const ItemOutcome& outcome : box.m_outcomes) {
        if (outcomes.size() >= kMaxSendItems || bytes >= kMaxSendBytes) {
          break;
        }
        bytes += outcome.m_line.size() + outcome.m_partial.size();
        outcomes.push_back(outcome);
      }
      m_threads.Submit([this, job = it->first, to = box.m_owner,
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
  Box& box = m_boxes[job];
  box.m_sending = false;
  if (done) {
    // Outcomes are only ever added at the end.
    box.m_outcomes.erase(
        box.m_outcomes.begin(),
        box.m_outcomes.begin() + static_cast<ptrdiff_t>(outcomes.size()));
    return;
  }
  box.m_not_before = MonotonicNow() + kRetryAfter;
  Log(Severity::kInfo, LogPart::kBatch, "Keeping results for later.",
      {{"job", job},
       {"owner", owner},
       {"results", outcomes.size()},
       {"error", done.error().m_message}});
}

void ResultOutbox::Drain(Millis timeout) {
  const Millis deadline = MonotonicNow() + timeout;
  while (Size() > 0 && MonotonicNow() < deadline) {
    Pump();
    SleepFor(Millis(10));
  }
}

}  // namespace bronzecross
