// The VMs that this VM knows: candidates from the platform's list, liveness
// from heartbeats. Heartbeats carry sections that other parts fill in.

#ifndef BRONZECROSS_MEMBERSHIP_MEMBERSHIP_H_
#define BRONZECROSS_MEMBERSHIP_MEMBERSHIP_H_

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "http/http_client.h"
#include "membership/member.h"
#include "peers/peer_client.h"
#include "peers/peer_server.h"

namespace bronzecross {

struct MembershipOptions {
  // Peer address is filled in by Start() from the peer server's.
  Member m_self;
  std::string m_vm_list_url;
  Millis m_vm_list_poll{1000};
  Millis m_heartbeat_interval{100};
};

// A part's contribution to heartbeats. `m_make` gives what this VM tells
// (null: nothing now); `m_take` receives what the VM `from` tells. Both must be
// short and must not block.
struct HeartbeatSection {
  std::function<nlohmann::json()> m_make;
  std::function<void(const std::string& from, const nlohmann::json&)> m_take;
};

class Membership {
 public:
  Membership(MembershipOptions options, PeerServer& server, PeerClient& client);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Call before Start().
  void AddSection(std::string_view name, HeartbeatSection section);
  void Start();
  void Stop();

  const Member& Self() const { return m_self; }
  void SetDraining() { m_draining = true; }

  // This VM and all that answered a heartbeat within kSuspectAfter, by id.
  std::vector<Member> Live() const;
  // All known VMs, silent ones included, by id.
  std::vector<Member> Known() const;
  std::optional<Member> Find(std::string_view id) const;
  // Whether more than half of the known VMs, this one included, answered a
  // heartbeat that was sent within `window`.
  bool HasMajorityContact(Millis window) const;

  // Calls a method of the VM `id`. Fails with kPeerUnavailable (not run) if it
  // is not known.
  Result<nlohmann::json> Call(std::string_view id,
                              std::string_view method,
                              const nlohmann::json& message,
                              Millis timeout);

  // Names of upstreams that the platform's list reports as leaving.
  std::vector<std::string> LeavingUpstreams() const;

 private:
  struct Peer;

  void PollList();
  void ApplyList(const struct VmList& list);
  void Heartbeat(const std::shared_ptr<Peer>& peer);
  nlohmann::json MakeHeartbeat() const;
  void TakeHeartbeat(const nlohmann::json& message);
  Result<std::string> AnswerHeartbeat(std::string_view body);
  bool WaitStopped(Millis duration);

  const MembershipOptions m_options;
  Member m_self;
  PeerServer& m_server;
  PeerClient& m_client;
  HttpClient m_http;
  std::map<std::string, HeartbeatSection, std::less<>> m_sections;
  std::atomic<bool> m_draining = false;

  mutable absl::Mutex m_mutex;
  bool m_stopping ABSL_GUARDED_BY(m_mutex) = false;
  std::map<std::string, std::shared_ptr<Peer>, std::less<>> m_peers
      ABSL_GUARDED_BY(m_mutex);
  // Threads of peers that left the list, joined in Stop().
  std::vector<std::thread> m_threads ABSL_GUARDED_BY(m_mutex);
  std::vector<std::string> m_leaving_upstreams ABSL_GUARDED_BY(m_mutex);
  std::thread m_poll_thread;
};

// A VM that has not answered a heartbeat for this long is not live.
inline constexpr Millis kSuspectAfter{1500};

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_MEMBERSHIP_H_
