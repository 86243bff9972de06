#include "membership/membership.h"

#include <algorithm>

#include <absl/time/time.h>

#include "base/hash.h"
#include "base/log.h"
#include "base/random.h"
#include "membership/digest.h"
#include "membership/vm_list.h"
#include "peers/message.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kHeartbeatTimeout{1000};
constexpr Millis kVmListTimeout{1000};
// Reopens the connection after this many consecutive failures: a connection
// whose packets are silently dropped never reports an error.
constexpr int kReconnectAfter = 2;
// How long a VM that is no longer listed stays known after it was last alive,
// because the list lags.
constexpr Millis kUnlistedRetention{5000};
// How long an upstream counts as leaving after it was last reported as leaving
// in some VM's list.
constexpr Millis kLeavingRetention{5000};

constexpr std::string_view kLeavingSection = "leaving";

// Indexes of the heartbeat's fields. A heartbeat is an array to save bytes.
constexpr size_t kId = 0;
constexpr size_t kIncarnation = 1;
constexpr size_t kFlags = 2;
constexpr size_t kSections = 3;
// The members' hash in a heartbeat, the digest in a reply; null in a small
// fleet.
constexpr size_t kDigest = 4;
constexpr size_t kFieldCount = 5;

constexpr int kDrainingFlag = 1;
constexpr int kDataDirFlag = 2;

bool IsSmallFleet(size_t peers) {
  return peers + 1 <= kFullMeshLimit;
}

}  // namespace

struct Membership::Peer {
  struct SentSection {
    uint64_t m_hash = 0;
    Millis m_sent_at;
  };

  Member m_member;
  bool m_listed = true;
  // Whether the local VM sends heartbeats to it, and whether a heartbeat thread
  // for it is running.
  bool m_is_target = false;
  bool m_has_thread = false;
  // Hash and send time of the sections last sent to it, by name.
  std::map<std::string, SentSection, std::less<>> m_sent_sections;
};

struct Membership::HeartbeatThread {
  std::thread m_thread;
  std::atomic<bool> m_done = false;
};

Membership::Membership(MembershipOptions options,
                       PeerServer& server,
                       PeerClient& client)
    : m_options(std::move(options)),
      m_self(m_options.m_self),
      m_server(server),
      m_client(client) {
  m_server.Register(
      "heartbeat", PeerDispatch::kOnConnection,
      [this](std::string_view body, Millis) { return HandleHeartbeat(body); });
  AddSection(kLeavingSection, {[this] { return MakeLeavingSection(); },
                               [this](const std::string&, const json& section) {
                                 ReceiveLeavingSection(section);
                               }});
}

Membership::~Membership() {
  Stop();
}

void Membership::AddSection(std::string_view name, HeartbeatSection section) {
  m_sections.insert_or_assign(std::string(name), std::move(section));
}

void Membership::Start() {
  m_self.m_peer_address = m_server.Address();
  m_poll_thread = std::thread([this] { PollVmList(); });
}

void Membership::Stop() {
  std::vector<std::unique_ptr<HeartbeatThread>> threads;
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_poll_thread.joinable()) {
    m_poll_thread.join();
  }
  {
    absl::MutexLock lock(&m_mutex);
    threads.swap(m_threads);
  }
  for (const std::unique_ptr<HeartbeatThread>& thread : threads) {
    thread->m_thread.join();
  }
}

bool Membership::WaitStopped(Millis duration) {
  absl::MutexLock lock(&m_mutex);
  return m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                  absl::Milliseconds(duration.count()));
}

void Membership::PollVmList() {
  do {
    const Millis requested_at = MonotonicNow();
    const Result<VmList> list =
        FetchVmList(m_http, m_options.m_vm_list_url, kVmListTimeout);
    if (list) {
      ApplyVmList(*list);
    } else {
      // Keeps the previous list, because a failed read says nothing about the
      // VMs.
      LogError(Severity::kWarning, LogPart::kMembership,
               "Failed to read the VM list.", list.error());
    }
    {
      absl::MutexLock lock(&m_mutex);
      m_vm_list_read_at = list ? requested_at : m_vm_list_read_at;
      UpdateHeartbeatTargets();
    }
  } while (!WaitStopped(m_options.m_vm_list_poll));
}

void Membership::ApplyVmList(const VmList& list) {
  const Millis now = MonotonicNow();
  absl::MutexLock lock(&m_mutex);
  for (const std::string& name : list.m_leaving_upstreams) {
    m_leaving_upstreams[name] = now;
  }
  for (const auto& [id, peer] : m_peers) {
    peer->m_listed = false;
  }
  m_self_leaving = false;
  for (const VmListEntry& entry : list.m_vms) {
    if (entry.m_id == m_self.m_id) {
      m_self_leaving = entry.m_leaving;
      continue;
    }
    std::shared_ptr<Peer>& peer = m_peers[entry.m_id];
    if (peer == nullptr) {
      peer = std::make_shared<Peer>();
    }
    peer->m_listed = true;
    peer->m_member.m_id = entry.m_id;
    peer->m_member.m_leaving = entry.m_leaving;
    peer->m_member.m_availability_zone = entry.m_zone;
    peer->m_member.m_peer_address = {entry.m_address,
                                     static_cast<uint16_t>(entry.m_peer_port)};
  }
  std::erase_if(m_peers, [now](const auto& item) {
    Peer& peer = *item.second;
    const Millis seen = peer.m_member.m_last_known_alive;
    const bool expired = !peer.m_listed &&
                         (seen == Millis(0) || now - seen > kUnlistedRetention);
    peer.m_is_target = peer.m_is_target && !expired;
    return expired;
  });
}

void Membership::UpdateHeartbeatTargets() {
  std::erase_if(m_threads, [](const std::unique_ptr<HeartbeatThread>& thread) {
    const bool done = thread->m_done;
    if (done) {
      thread->m_thread.join();
    }
    return done;
  });
  std::vector<Member> members;
  for (const auto& [id, peer] : m_peers) {
    peer->m_is_target = false;
    members.push_back(peer->m_member);
  }
  const std::vector<std::string> targets = ChooseHeartbeatTargets(
      m_self.m_id, members, MonotonicNow(), ThreadRandom());
  m_target_count = targets.size();
  for (const std::string& id : targets) {
    const std::shared_ptr<Peer>& peer = m_peers.find(id)->second;
    peer->m_is_target = true;
    if (!peer->m_has_thread && !m_stopping) {
      peer->m_has_thread = true;
      std::unique_ptr<HeartbeatThread>& thread =
          m_threads.emplace_back(std::make_unique<HeartbeatThread>());
      thread->m_thread = std::thread([this, peer, raw = thread.get()] {
        RunHeartbeats(peer);
        raw->m_done = true;
      });
    }
  }
}

void Membership::RunHeartbeats(const std::shared_ptr<Peer>& peer) {
  NetAddress address;
  Millis interval;
  int failures = 0;
  do {
    const NetAddress before = address;
    {
      absl::MutexLock lock(&m_mutex);
      if (!peer->m_is_target) {
        peer->m_has_thread = false;
        break;
      }
      address = peer->m_member.m_peer_address;
      interval =
          HeartbeatInterval(m_options.m_heartbeat_interval, m_target_count,
                            m_options.m_max_heartbeats_per_s);
    }
    if (before.m_port != 0 && before.ToString() != address.ToString()) {
      m_client.Disconnect(before);
    }
    failures = SendHeartbeat(*peer, address) ? 0 : failures + 1;
    if (failures >= kReconnectAfter) {
      m_client.Disconnect(address);
    }
  } while (!WaitStopped(interval));
  m_client.Disconnect(address);
}

bool Membership::SendHeartbeat(Peer& peer, const NetAddress& address) {
  std::string id;
  uint32_t own_hash = 0;
  {
    absl::MutexLock lock(&m_mutex);
    id = peer.m_member.m_id;
    if (!IsSmallFleet(m_peers.size())) {
      Member self = CurrentSelf();
      own_hash = MembersHash(SortedMembers(self));
    }
  }
  json message = MakeHeartbeat(id);
  if (own_hash != 0) {
    message[kDigest] = own_hash;
  }
  const Millis sent = MonotonicNow();
  const Result<std::string> bytes = m_client.Call(
      address, "heartbeat", EncodeMessage(message), kHeartbeatTimeout);
  const Result<json> reply =
      bytes ? DecodeMessage(*bytes) : tl::unexpected<Error>(bytes.error());
  // Ignores a reply from another VM or from an earlier run.
  const bool accepted = reply && reply->is_array() &&
                        reply->size() == kFieldCount && (*reply)[kId] == id &&
                        ProcessHeartbeat(*reply);
  absl::MutexLock lock(&m_mutex);
  if (!accepted) {
    peer.m_sent_sections.clear();
    return false;
  }
  peer.m_member.m_last_seen = std::max(peer.m_member.m_last_seen, sent);
  peer.m_member.m_last_known_alive =
      std::max(peer.m_member.m_last_known_alive, sent);
  if (own_hash != 0 && !(*reply)[kDigest].is_null()) {
    MergeReplyDigest((*reply)[kDigest], own_hash, sent);
  }
  return true;
}

void Membership::MergeReplyDigest(const json& digest,
                                  uint32_t own_hash,
                                  Millis sent) {
  // The digest is not applied to the local VM: `self` is a copy.
  Member self = CurrentSelf();
  try {
    MergeDigest(digest, own_hash, sent, SortedMembers(self));
  } catch (const json::exception& error) {
    Log(Severity::kWarning, LogPart::kMembership, "Dropped a malformed digest.",
        {{"error", error.what()}});
  }
}

json Membership::MakeHeartbeat(std::string_view to) {
  json message = json::array();
  message[kFieldCount - 1] = nullptr;
  message[kId] = m_self.m_id;
  message[kIncarnation] = m_self.m_incarnation;
  message[kFlags] = (m_draining ? kDrainingFlag : 0) |
                    (m_self.m_has_data_dir ? kDataDirFlag : 0);
  message[kSections] = MakeSections(to);
  return message;
}

json Membership::MakeSections(std::string_view to) {
  // The sections' functions acquire locks of other components, so they must not
  // be called while m_mutex is held.
  std::map<std::string_view, json> values;
  for (const auto& [name, section] : m_sections) {
    json value = section.m_make();
    if (!value.is_null()) {
      values.emplace(name, std::move(value));
    }
  }
  const Millis now = MonotonicNow();
  json sections;
  absl::MutexLock lock(&m_mutex);
  const auto found = m_peers.find(to);
  if (found == m_peers.end()) {
    return sections;
  }
  for (auto& [name, value] : values) {
    Peer::SentSection& last_sent =
        found->second->m_sent_sections[std::string(name)];
    const uint64_t hash = Hash64(EncodeMessage(value));
    const bool always = m_sections.find(name)->second.m_always_send;
    if (always || last_sent.m_sent_at == Millis(0) ||
        last_sent.m_hash != hash ||
        now - last_sent.m_sent_at >= kSectionRefreshInterval) {
      last_sent = {hash, now};
      sections[std::string(name)] = std::move(value);
    }
  }
  return sections;
}

bool Membership::ProcessHeartbeat(const json& message) {
  try {
    const std::string from = message.at(kId);
    {
      absl::MutexLock lock(&m_mutex);
      const auto found = m_peers.find(from);
      if (found == m_peers.end()) {
        return false;
      }
      Member& member = found->second->m_member;
      const int64_t incarnation = message.at(kIncarnation);
      if (incarnation > member.m_incarnation) {
        found->second->m_sent_sections.clear();
        Log(Severity::kInfo, LogPart::kMembership, "A VM has started.",
            {{"vm", from},
             {"incarnation", incarnation},
             {"before", member.m_incarnation}});
      }
      if (!AcceptIncarnation(member, incarnation)) {
        return false;
      }
      const int flags = message.at(kFlags);
      member.m_has_data_dir = (flags & kDataDirFlag) != 0;
      member.m_draining = (flags & kDrainingFlag) != 0;
    }
    if (message.at(kSections).is_null()) {
      return true;
    }
    for (const auto& [name, value] : message.at(kSections).items()) {
      const auto section = m_sections.find(name);
      if (section != m_sections.end()) {
        section->second.m_receive(from, value);
      }
    }
  } catch (const json::exception& error) {
    Log(Severity::kWarning, LogPart::kMembership,
        "Dropped a malformed heartbeat.", {{"error", error.what()}});
    return false;
  }
  return true;
}

Result<std::string> Membership::HandleHeartbeat(std::string_view body) {
  const Result<json> message = DecodeMessage(body);
  if (!message) {
    return tl::unexpected<Error>(message.error());
  }
  if (!message->is_array() || message->size() != kFieldCount ||
      !(*message)[kId].is_string()) {
    return Fail(ResultCode::kMalformedBody, "the heartbeat is malformed");
  }
  ProcessHeartbeat(*message);
  json reply = MakeHeartbeat((*message)[kId].get<std::string>());
  if ((*message)[kDigest].is_number_unsigned()) {
    const uint64_t first = RandomBelow(ThreadRandom(), UINT32_MAX);
    absl::MutexLock lock(&m_mutex);
    Member self = CurrentSelf();
    reply[kDigest] = MakeDigest(SortedMembers(self), (*message)[kDigest],
                                MonotonicNow(), first);
  }
  return EncodeMessage(reply);
}

json Membership::MakeLeavingSection() const {
  const Millis now = MonotonicNow();
  json section;
  absl::MutexLock lock(&m_mutex);
  for (const auto& [name, seen] : m_leaving_upstreams) {
    if (now - seen < kLeavingRetention) {
      section[name] = (now - seen).count();
    }
  }
  return section;
}

void Membership::ReceiveLeavingSection(const json& section) {
  const Millis now = MonotonicNow();
  absl::MutexLock lock(&m_mutex);
  for (const auto& [name, age] : section.items()) {
    Millis& seen = m_leaving_upstreams[name];
    seen = std::max(seen, now - Millis(age.get<int64_t>()));
  }
}

std::vector<std::string> Membership::LeavingUpstreams() const {
  const Millis now = MonotonicNow();
  std::vector<std::string> names;
  absl::MutexLock lock(&m_mutex);
  for (const auto& [name, seen] : m_leaving_upstreams) {
    if (now - seen < kLeavingRetention) {
      names.push_back(name);
    }
  }
  return names;
}

Member Membership::CurrentSelf() const {
  Member self = m_self;
  self.m_draining = m_draining;
  self.m_leaving = m_self_leaving;
  self.m_last_seen = MonotonicNow();
  self.m_last_known_alive = self.m_last_seen;
  return self;
}

std::vector<Member*> Membership::SortedMembers(Member& self) const {
  std::vector<Member*> members;
  members.reserve(m_peers.size() + 1);
  for (const auto& [id, peer] : m_peers) {
    members.push_back(&peer->m_member);
  }
  const auto position =
      std::lower_bound(members.begin(), members.end(), &self,
                       [](const Member* left, const Member* right) {
                         return left->m_id < right->m_id;
                       });
  members.insert(position, &self);
  return members;
}

std::vector<Member> Membership::Known() const {
  absl::MutexLock lock(&m_mutex);
  Member self = CurrentSelf();
  std::vector<Member> members;
  for (const Member* member : SortedMembers(self)) {
    members.push_back(*member);
  }
  return members;
}

std::vector<Member> Membership::Live() const {
  const Millis now = MonotonicNow();
  std::vector<Member> members = Known();
  std::erase_if(members,
                [now](const Member& member) { return !IsLive(member, now); });
  return members;
}

std::vector<Member> Membership::Eligible() const {
  std::vector<Member> members = Live();
  std::erase_if(members, &IsLeaving);
  return members;
}

std::optional<Member> Membership::Find(std::string_view id) const {
  absl::MutexLock lock(&m_mutex);
  if (id == m_self.m_id) {
    return m_self;
  }
  const auto found = m_peers.find(id);
  return found == m_peers.end()
             ? std::nullopt
             : std::optional<Member>(found->second->m_member);
}

Millis Membership::LastMajorityContact() const {
  std::vector<Millis> last_contacts;
  absl::MutexLock lock(&m_mutex);
  const bool direct_only = IsSmallFleet(m_peers.size());
  for (const auto& [id, peer] : m_peers) {
    last_contacts.push_back(direct_only ? peer->m_member.m_last_seen
                                        : peer->m_member.m_last_known_alive);
  }
  // Without a successful read of the list, a VM with no peers cannot know that
  // it is the only one.
  return MajorityContactTime(last_contacts, m_vm_list_read_at);
}

bool Membership::HasMajorityContact(Millis window) const {
  const Millis last = LastMajorityContact();
  return last != Millis(0) && MonotonicNow() - last <= window;
}

Result<json> Membership::Call(std::string_view id,
                              std::string_view method,
                              const json& message,
                              Millis timeout) {
  const std::optional<Member> member = Find(id);
  if (!member) {
    return Fail(ResultCode::kPeerUnavailable,
                "VM " + std::string(id) + " is unknown");
  }
  const Result<std::string> reply = m_client.Call(
      member->m_peer_address, method, EncodeMessage(message), timeout);
  if (!reply) {
    return tl::unexpected<Error>(reply.error());
  }
  return DecodeMessage(*reply);
}

}  // namespace bronzecross
