// Stand-in for one replica on the platform: runs requests, streams events,
// states what it didn't run, and misbehaves on demand. Its answers depend on
// the request's id only, so that callers can check them.

#ifndef BRONZECROSS_STANDINS_PLATFORM_REPLICA_STANDIN_H_
#define BRONZECROSS_STANDINS_PLATFORM_REPLICA_STANDIN_H_

#include <atomic>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include <absl/synchronization/mutex.h>

#include "standins/platform_store_standin.h"

namespace bronzecross {

struct PlatformReplicaOptions {
  std::string m_id = "i-1";
  std::string m_service = "engine";
  std::string m_zone = "zone-a";
  int m_slots = 8;
  int m_events = 5;  // of a stream
  Millis m_event_gap{5};
};

struct PlatformReplicaFaults {
  bool m_refuse = false;          // every request is refused as not run
  int m_break_after = -1;         // streams end after so many events, cut
  int m_breaks_left = 1'000'000;  // so many requests are cut
  bool m_unsigned = false;        // answers lack the signature
  int m_fail_status = 0;          // answers have this status
  bool m_silent = false;          // requests get no answer for some seconds
  int m_slow_factor = 1;          // of the gap between events
  bool m_leaving = false;         // all answers say that it is leaving
  // A request with this in its prompt ends the replica as a crash does, before
  // the first event; empty: none does.
  std::string m_crashing_part;
};

// A request that the replica ran.
struct ReplicaRun {
  Millis m_at;
  std::string m_request_id;
  std::string m_path;
  std::string m_body;
  std::string m_workspace;
  std::string m_authorization;
  int64_t m_resume_after = 0;
  int64_t m_deadline_ms = -1;
};

class PlatformReplicaStandin {
 public:
  // Registers itself in `store`.
  PlatformReplicaStandin(PlatformStoreStandin& store,
                         PlatformReplicaOptions options);
  ~PlatformReplicaStandin();

  void SetFaults(const PlatformReplicaFaults& faults);
  // Writes its entry with the given state.
  void Register(std::string_view state);
  // Writes the entry that it has after a start at the Unix time `born`.
  void RegisterAsStarted(Millis born);
  void Unregister();
  // From the next Register() on its entry names `address`, as of a proxy.
  void SetListedAddress(const NetAddress& address) { m_listed = address; }
  const NetAddress& Address() const { return m_server.Address(); }
  // Ends as a crash does; the entry stays.
  void Crash();

  std::vector<ReplicaRun> Runs();
  // Number of requests that have arrived, also those that weren't run.
  int64_t Requests() const { return m_requests; }

  // The data of event `index`, counted from 1, of a request's stream.
  static std::string EventData(std::string_view request_id, int64_t index);
  // The signature in a replica's answer; empty if there is none.
  static std::string_view SignatureOf(const std::vector<HttpHeader>& fields);
  // The key of a replica's entry in the store.
  static std::string EntryKey(std::string_view id);
  // The answer to a plain request.
  static std::string PlainBody(std::string_view request_id);

 private:
  HttpReply Handle(HttpRequest& request);
  HttpReply Answer(HttpRequest& request);
  int SlowFactor();
  HttpReply Stream(const HttpRequest& request,
                   const std::string& id,
                   int64_t resume_after,
                   bool cut,
                   int cut_after);

  PlatformStoreStandin& m_store;
  const PlatformReplicaOptions m_options;
  NetAddress m_listed;  // without a port: its own
  Millis m_born{1};
  absl::Mutex m_mutex;
  std::atomic<int64_t> m_requests = 0;
  bool m_is_crashed ABSL_GUARDED_BY(m_mutex) = false;
  PlatformReplicaFaults m_faults ABSL_GUARDED_BY(m_mutex);
  std::vector<ReplicaRun> m_runs ABSL_GUARDED_BY(m_mutex);
  StandinServer m_server;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_PLATFORM_REPLICA_STANDIN_H_
