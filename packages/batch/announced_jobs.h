// The open jobs that their owners announce in heartbeats, with their progress
// and the capabilities that their ready items need.

#ifndef BRONZECROSS_BATCH_ANNOUNCED_JOBS_H_
#define BRONZECROSS_BATCH_ANNOUNCED_JOBS_H_

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "batch/job_record.h"

namespace bronzecross {

struct AnnouncedJob {
  std::string m_id;
  std::string m_owner;
  int64_t m_epoch = 0;
  std::string m_workspace;
  // Wall time at which it expires.
  Millis m_deadline;
  std::string m_state;
  // Whether its items must not be run any more.
  bool m_stopping = false;
  // Number of ready items by capability.
  std::map<std::string, int64_t, std::less<>> m_ready;
  JobCounts m_counts;
  // Whether it is not expected to complete within its window.
  bool m_late = false;
  // Wall time at which its last item is expected to end; zero if unknown.
  Millis m_expected_end;
};

// Thread-safe.
class AnnouncedJobs {
 public:
  // Replaces the announcements of the VM `from` by those of its heartbeat
  // section, a map of job id to announcement.
  void Update(const std::string& from,
              const nlohmann::json& section,
              Millis now);

  // Returns all jobs announced within kAnnouncementLifetime. If several VMs
  // announce the same job, the one with the highest epoch counts.
  std::vector<AnnouncedJob> Jobs(Millis now) const;
  std::optional<AnnouncedJob> Find(std::string_view id, Millis now) const;

 private:
  struct VmAnnouncement {
    std::vector<AnnouncedJob> m_jobs;
    Millis m_received_at;
  };

  mutable absl::Mutex m_mutex;
  std::map<std::string, VmAnnouncement> m_by_vm ABSL_GUARDED_BY(m_mutex);
};

// Unchanged heartbeat sections are sent again every 500 ms.
inline constexpr Millis kAnnouncementLifetime{2000};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_ANNOUNCED_JOBS_H_
