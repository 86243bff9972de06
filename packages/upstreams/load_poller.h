// Polls the load reports of the engines that are assigned to this VM. Each
// engine is polled by the two VMs that rank first by rendezvous hash, which
// publish the reports to the other VMs in heartbeats.

#ifndef BRONZECROSS_UPSTREAMS_LOAD_POLLER_H_
#define BRONZECROSS_UPSTREAMS_LOAD_POLLER_H_

#include <functional>
#include <string>
#include <thread>

#include <absl/synchronization/mutex.h>

#include "config/config_holder.h"
#include "http/http_client.h"
#include "membership/membership.h"
#include "upstreams/load_report.h"

namespace bronzecross {

class LoadPoller {
 public:
  // Receives the report of the upstream `name` or the error, and the time at
  // which the report was requested. Called on the poller's thread.
  using Sink = std::function<void(const std::string& name,
                                  const Result<LoadReport>& report,
                                  Millis sent)>;

  LoadPoller(ConfigHolder& config,
             Membership& membership,
             HttpClient& http,
             Sink sink);
  ~LoadPoller();

  void Start();
  void Stop();

 private:
  void Run();
  // Returns whether this VM is one of the pollers of the engine `name`.
  bool IsPolledHere(const std::string& name,
                    std::span<const Member> live) const;
  Result<LoadReport> Poll(const UpstreamSpec& spec);

  ConfigHolder& m_config;
  Membership& m_membership;
  HttpClient& m_http;
  const Sink m_sink;
  absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::thread m_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_LOAD_POLLER_H_
