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
#include "membership/member_news.h"
#include "peers/peer_client.h"
#include "peers/peer_server.h"

namespace bronzecross {

struct MembershipOptions {
  // Peer address is filled in by Start() from the peer server's.
  Member m_self;
  std::string m_vm_list_url;
  Millis m_vm_list_poll{1000};
  // The shortest time between two heartbeats to one VM.
  Millis m_heartbeat_interval{100};
  // Heartbeats that this VM sends in all; the interval grows accordingly. With
  // 40 the daemon used up to 1.5% of a core in fleets of 4 to 32 VMs.
  int64_t m_max_heartbeats_per_s = 30;
};

// A part's contribution to heartbeats. `m_make` gives what this VM tells
// (null: nothing now); `m_take` receives what the VM `from` tells. Both must be
// short and must not block. A value that has not changed is told again only
// every kSectionRefresh, so a receiver must keep it for longer than that.
struct HeartbeatSection {
  std::function<nlohmann::json()> m_make;
  std::function<void(const std::string& from, const nlohmann::json&)> m_take;
  // Tells the value each time, for a receiver that must know its age.
  bool m_always = false;
};

inline constexpr Millis kSectionRefresh{500};

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

  // This VM and all that gave a sign of life within kSuspectAfter, by id.
  std::vector<Member> Live() const;
  // The live VMs that may get new work: neither draining nor listed as leaving.
  // This VM is among them only if that holds for it as well.
  std::vector<Member> Eligible() const;
  // All known VMs, silent ones included, by id.
  std::vector<Member> Known() const;
  std::optional<Member> Find(std::string_view id) const;
  // Whether more than half of the known VMs, this one included, answered a
  // heartbeat that was sent within `window`. In a fleet above kFullMeshLimit
  // answers to other VMs count as well, as their digests tell.
  bool HasMajorityContact(Millis window) const;
  // The latest time since which that holds; zero: it never held.
  Millis LastMajorityContact() const;

  // Calls a method of the VM `id`. Fails with kPeerUnavailable (not run) if it
  // is not known.
  Result<nlohmann::json> Call(std::string_view id,
                              std::string_view method,
                              const nlohmann::json& message,
                              Millis timeout);

  // Names of upstreams that the platform's list reports as leaving, to this VM
  // or to another one that announced it.
  std::vector<std::string> LeavingUpstreams() const;

 private:
  struct Peer;
  struct ContactThread;

  void PollList();
  void ApplyList(const struct VmList& list);
  void UpdateContacts() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  void Heartbeat(const std::shared_ptr<Peer>& peer);
  bool SendHeartbeat(Peer& peer, const NetAddress& address);
  nlohmann::json MakeHeartbeat(std::string_view to);
  nlohmann::json MakeSections(std::string_view to);
  // Returns false if the message is from an earlier incarnation or from a VM
  // that is not known.
  bool TakeHeartbeat(const nlohmann::json& message);
  void TakeAnswerDigest(const nlohmann::json& digest,
                        uint32_t own_hash,
                        Millis sent) ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);
  Result<std::string> AnswerHeartbeat(std::string_view body);
  nlohmann::json MakeLeavingSection() const;
  void TakeLeavingSection(const nlohmann::json& section);
  bool WaitStopped(Millis duration);
  Member SelfNow() const ABSL_SHARED_LOCKS_REQUIRED(m_mutex);
  // `self`, which stands for this VM, and the others, by id.
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
  size_t m_contacts ABSL_GUARDED_BY(m_mutex) = 0;
  std::vector<std::unique_ptr<ContactThread>> m_threads
      ABSL_GUARDED_BY(m_mutex);
  // When an upstream was last seen as leaving in some VM's list, by name.
  std::map<std::string, Millis, std::less<>> m_leaving_upstreams
      ABSL_GUARDED_BY(m_mutex);
  bool m_self_leaving ABSL_GUARDED_BY(m_mutex) = false;
  // When the last readable list was asked for; zero: never.
  Millis m_list_read ABSL_GUARDED_BY(m_mutex);
  std::thread m_poll_thread;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_MEMBERSHIP_H_
