// Stand-in for a model replica: admits requests in order of arrival into its
// slots, queues a few, streams numbered events, resumes after `Last-Event-Id`
// and drops a request when its connection closes. The data of an event depends
// on the request's id and the event's number only.

#ifndef REVIEW_COMMON_REPLICA_HPP_
#define REVIEW_COMMON_REPLICA_HPP_

#include <memory>
#include <string>
#include <vector>

#include "store.hpp"

namespace review {

struct ReplicaOptions {
  std::string m_id;
  std::string m_service = "lm";
  std::string m_zone = "zone-a";
  int m_slots = 8;
  int m_queue = 24;
  Millis m_event_gap{30};
};

// A request that the replica began to run.
struct Run {
  int64_t m_at = 0;  // on the clock of the record
  std::string m_replica;
  std::string m_request_id;
  std::string m_path;
  std::string m_tenant;
  std::string m_body;
  int64_t m_resume_after = 0;
  bool m_has_ended = false;
  int64_t m_ended_at = 0;
};

class Replica {
 public:
  // Registers itself in `store`. The number of events of a request's stream is
  // taken from its `Token-Count`: one event for each ten output tokens.
  Replica(Store& store, ReplicaOptions options);
  ~Replica();

  std::vector<Run> Runs();
  int Running();

  static std::string EventData(std::string_view request_id, int64_t index);

 private:
  HttpReply Handle(HttpRequest& request);
  // Returns false if the queue is full.
  bool TakeSlot();
  size_t BeginRun(const HttpRequest& request, const std::string& id);
  void EndRun(size_t run);

  const ReplicaOptions m_options;
  absl::Mutex m_mutex;
  absl::CondVar m_slot_free;
  int m_running ABSL_GUARDED_BY(m_mutex) = 0;
  int m_waiting ABSL_GUARDED_BY(m_mutex) = 0;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::vector<Run> m_runs ABSL_GUARDED_BY(m_mutex);
  bronzecross::StandinServer m_server;
};

}  // namespace review

#endif  // REVIEW_COMMON_REPLICA_HPP_
