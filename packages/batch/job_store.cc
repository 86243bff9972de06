#include "batch/job_store.h"

#include <algorithm>

#include <absl/strings/str_cat.h>

#include "base/hash.h"
#include "base/random.h"

namespace bronzecross {
namespace {

using nlohmann::json;

// Adds a random token to the value, so that a write whose reply was lost is
// recognised when it is read back.
std::string WithWriterToken(json value) {
  value["writer"] = RandomId();
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

json OpenEntry(const JobRecord& job) {
  return {{"owner", job.m_owner},
          {"incarnation", job.m_owner_incarnation},
          {"cancelling", job.m_state == JobState::kCancelling}};
}

}  // namespace

JobStore::JobStore(KvClient& store, std::string prefix)
    : m_store(store), m_prefix(std::move(prefix)) {}

std::string JobStore::SubmitEntryKey(std::string_view workspace,
                                     std::string_view key) const {
  return absl::StrCat(m_prefix, "submits/",
                      Sha256Hex(json{workspace, key}.dump(
                          -1, ' ', false, json::error_handler_t::replace)));
}

Result<StoredJob> JobStore::Submit(const JobRecord& job,
                                   std::string_view idempotency_key,
                                   std::string_view body) {
  std::vector<KvWrite> writes = {{absl::StrCat(m_prefix, "jobs/", job.m_id),
                                  WithWriterToken(JobToJson(job)), 0},
                                 {absl::StrCat(m_prefix, "open/", job.m_id),
                                  WithWriterToken(OpenEntry(job)), 0}};
  if (!idempotency_key.empty()) {
    writes.push_back(
        {SubmitEntryKey(job.m_workspace, idempotency_key),
         WithWriterToken({{"job", job.m_id}, {"body", Sha256Hex(body)}}), 0});
  }
  const Result<int64_t> committed = m_store.Commit(writes);
  if (committed) {
    return StoredJob{job, *committed};
  }
  if (committed.error().m_code == ResultCode::kConflict &&
      !idempotency_key.empty()) {
    Result<std::optional<StoredJob>> first =
        FindSubmitted(job.m_workspace, idempotency_key, body);
    if (!first) {
      return tl::unexpected<Error>(first.error());
    }
    if (*first) {
      return std::move(**first);
    }
  }
  return tl::unexpected<Error>(committed.error());
}

Result<std::optional<StoredJob>> JobStore::FindSubmitted(
    std::string_view workspace,
    std::string_view idempotency_key,
    std::string_view body) {
  const Result<std::optional<KvEntry>> entry =
      m_store.Get(SubmitEntryKey(workspace, idempotency_key));
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  if (!*entry) {
    return std::optional<StoredJob>();
  }
  const json submit = json::parse((*entry)->m_value, nullptr, false);
  if (!submit.is_object() || submit.value("body", "") != Sha256Hex(body)) {
    return Fail(ResultCode::kIdempotencyMismatch,
                "the Idempotency-Key was used with another body");
  }
  Result<StoredJob> job = Load(submit.value("job", ""));
  if (!job) {
    return tl::unexpected<Error>(job.error());
  }
  return std::optional<StoredJob>(std::move(*job));
}

Result<StoredJob> JobStore::Load(std::string_view id) {
  const Result<std::optional<KvEntry>> entry =
      m_store.Get(absl::StrCat(m_prefix, "jobs/", std::string(id)));
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  if (!*entry) {
    return Fail(ResultCode::kNotFound,
                absl::StrCat("there is no job ", std::string(id)));
  }
  Result<JobRecord> job = ParseJob((*entry)->m_value);
  if (!job) {
    return tl::unexpected<Error>(job.error());
  }
  return StoredJob{std::move(*job), (*entry)->m_mod_revision};
}

Result<int64_t> JobStore::Save(const JobRecord& job, int64_t revision) {
  std::vector<KvWrite> writes = {{absl::StrCat(m_prefix, "jobs/", job.m_id),
                                  WithWriterToken(JobToJson(job)), revision}};
  KvWrite& open = writes.emplace_back();
  open.m_key = absl::StrCat(m_prefix, "open/", job.m_id);
  open.m_expected_revision = revision;
  open.m_delete = IsFinal(job.m_state);
  open.m_value = open.m_delete ? "" : WithWriterToken(OpenEntry(job));
  return m_store.Commit(writes);
}

Result<std::vector<JobRecord>> JobStore::ListJobs(std::string_view workspace) {
  const Result<KvRange> range = m_store.List(m_prefix + "jobs/");
  if (!range) {
    return tl::unexpected<Error>(range.error());
  }
  std::vector<JobRecord> jobs;
  for (const KvEntry& entry : range->m_entries) {
    Result<JobRecord> job = ParseJob(entry.m_value);
    if (job && job->m_workspace == workspace) {
      jobs.push_back(std::move(*job));
    }
  }
  std::sort(jobs.begin(), jobs.end(),
            [](const JobRecord& a, const JobRecord& b) {
              return a.m_created > b.m_created;
            });
  return jobs;
}

Result<std::vector<OpenJob>> JobStore::ListOpen() {
  const std::string prefix = m_prefix + "open/";
  const Result<KvRange> range = m_store.List(prefix);
  if (!range) {
    return tl::unexpected<Error>(range.error());
  }
  std::vector<OpenJob> jobs;
  for (const KvEntry& entry : range->m_entries) {
    const json value = json::parse(entry.m_value, nullptr, false);
    if (value.is_object()) {
      jobs.push_back({entry.m_key.substr(prefix.size()),
                      value.value("owner", ""),
                      value.value("incarnation", int64_t{0}),
                      value.value("cancelling", false)});
    }
  }
  return jobs;
}

Result<std::map<std::string, int64_t>> JobStore::ListVms() {
  const std::string prefix = m_prefix + "vms/";
  const Result<KvRange> range = m_store.List(prefix);
  if (!range) {
    return tl::unexpected<Error>(range.error());
  }
  std::map<std::string, int64_t> vms;
  for (const KvEntry& entry : range->m_entries) {
    const json value = json::parse(entry.m_value, nullptr, false);
    if (value.is_object()) {
      vms[entry.m_key.substr(prefix.size())] =
          value.value("incarnation", int64_t{0});
    }
  }
  return vms;
}

}  // namespace bronzecross
