// What the owners of jobs announce in heartbeats: their open jobs, how far they
// are and what their items need.

#ifndef BRONZECROSS_BATCH_OPEN_WORK_H_
#define BRONZECROSS_BATCH_OPEN_WORK_H_

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
  // Whether its items must not run any more.
  bool m_stopping = false;
  // Ready items by need.
  std::map<std::string, int64_t, std::less<>> m_open;
  JobCounts m_counts;
  // Whether it is not expected to complete within its window.
  bool m_late = false;
  // Wall time at which its last item is expected to end; zero: unknown.
  Millis m_expected_end;
};

// Thread-safe.
class OpenWork {
 public:
  // Takes the section of the VM `from`: job id -> announcement.
  void Take(const std::string& from, const nlohmann::json& section, Millis now);

  // All jobs announced within kAnnouncementLife. If two VMs announce the same
  // job, the one with the higher epoch counts.
  std::vector<AnnouncedJob> Jobs(Millis now) const;
  std::optional<AnnouncedJob> Find(std::string_view id, Millis now) const;

 private:
  struct Told {
    std::vector<AnnouncedJob> m_jobs;
    Millis m_at;
  };

  mutable absl::Mutex m_mutex;
  std::map<std::string, Told> m_told ABSL_GUARDED_BY(m_mutex);
};

// Unchanged sections are repeated every 500 ms.
inline constexpr Millis kAnnouncementLife{2000};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_OPEN_WORK_H_
