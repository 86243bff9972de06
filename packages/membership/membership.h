// Tracks the VMs of the fleet: candidates come from the platform's VM list,
// liveness from heartbeats. Heartbeats carry sections that other components
// provide.

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
#include "membership/member_liveness.h"
#include "peers/peer_client.h"
#include "peers/peer_server.h"

namespace bronzecross {

struct MembershipOptions {
  // Start() fills in the peer address from the peer server.
  Member m_self;
  std::string m_vm_list_url;
  Millis m_vm_list_poll{1000};
  // Minimum time between two heartbeats to one VM.
  Millis m_heartbeat_interval{100};
  // Maximum rate of heartbeats that this VM sends in total; the interval grows
  // accordingly. At 40 the daemon used up to 1.5% of a core in fleets of 4 to
  // 32 VMs.
  int64_t m_max_heartbeats_per_s = 30;
};

// A component's section of the heartbeats. `m_make` returns the value to send
// (null: none now); `m_receive` is called with the value sent by the VM `from`.
// Both must be fast and must not block. An unchanged value is sent only every
// kSectionRefreshInterval, so a receiver must retain it for longer than that.
struct HeartbeatSection {
  std::function<nlohmann::json()> m_make;
  std::function<void(const std::string& from, const nlohmann::json&)> m_receive;
  // Whether to send the value with every heartbeat, for a receiver that must
  // know its age.
  bool m_always_send = false;
};

inline constexpr Millis kSectionRefreshInterval{500};

class Membership {
 public:
  Membership(MembershipOptions options, PeerServer& server, PeerClient& client);
  ~Membership();
  Membership(const Membership&) = delete;
  Membership& operator=(const Membership&) = delete;

  // Must be called before Start().
  void AddSection(std::string_view name, HeartbeatSection section);
  void Start();
  void Stop();

  const Member& Self() const { return m_self; }
  void SetDraining() { m_draining = true; }

  // Returns this VM and all VMs known to have been alive within
  // kLivenessTimeout, by id.
  std::vector<Member> Live() const;
  // Returns the live VMs that may get new work, by id: neither draining nor
  // listed as leaving. The same condition applies to this VM.
  std::vector<Member> Eligible() const;
  // Returns all known VMs by id, including unresponsive ones.
  std::vector<Member> Known() const;
  std::optional<Member> Find(std::string_view id) const;
  // Returns whether more than half of the known VMs, including this one,
  // replied to a heartbeat that was sent within `window`. In a fleet larger
  // than kFullMeshLimit, replies to other VMs count as well, as reported in
  // their digests.
  bool HasMajorityContact(Millis window) const;
  // Returns the latest time since which a majority has been in contact; zero:
  // never.
  Millis LastMajorityContact() const;

  // Calls a method of the VM `id`. Fails with kPeerUnavailable (not run) if the
  // VM is unknown.
  Result<nlohmann::json> Call(std::string_view id,
                              std::string_view method,
                              const nlohmann::json& message,
                              Millis timeout);

  // Returns the names of upstreams that the platform's list reports as leaving,
  // to this VM or to another one that gossiped it.
  std::vector<std::string> LeavingUpstreams() const;

 private:
  struct Peer;
  struct HeartbeatThread;

  void PollVmList();
  void ApplyVmList(const struct VmList& list);
  void UpdateHeartbeatTargets() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void RunHeartbeats(const std::shared_ptr<Peer>& peer);
  bool SendHeartbeat(Peer& peer, const NetAddress& address);
  nlohmann::json MakeHeartbeat(std::string_view to);
  nlohmann::json MakeSections(std::string_view to);
  // Returns false if the message is malformed, from an earlier incarnation or
  // from an unknown VM.
  bool ProcessHeartbeat(const nlohmann::json& message);
  void MergeReplyDigest(const nlohmann::json& digest,
                        uint32_t own_hash,
                        Millis sent) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  Result<std::string> HandleHeartbeat(std::string_view body);
  nlohmann::json MakeLeavingSection() const;
  void ReceiveLeavingSection(const nlohmann::json& section);
  bool WaitStopped(Millis duration);
  Member CurrentSelf() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  // Returns `self`, which represents this VM, and the other members, by id.
  std::vector<Member*> SortedMembers(Member& self) const
      ABSL_SHARED_LOCKS_REQUIRED(m_mutex);

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
  size_t m_target_count ABSL_GUARDED_BY(m_mutex) = 0;
  std::vector<std::unique_ptr<HeartbeatThread>> m_threads
      ABSL_GUARDED_BY(m_mutex);
  // When an upstream was last reported as leaving in some VM's list, by name.
  std::map<std::string, Millis, std::less<>> m_leaving_upstreams
      ABSL_GUARDED_BY(m_mutex);
  bool m_self_leaving ABSL_GUARDED_BY(m_mutex) = false;
  // When the last list that was read successfully was requested; zero: never.
  Millis m_vm_list_read_at ABSL_GUARDED_BY(m_mutex);
  std::thread m_poll_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_MEMBERSHIP_H_
