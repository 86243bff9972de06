#include "membership/membership.h"

#include <absl/time/time.h>

#include "base/log.h"
#include "membership/vm_list.h"
#include "peers/message.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kHeartbeatTimeout{1000};
constexpr Millis kVmListTimeout{1000};

}  // namespace

struct Membership::Peer {
  Member m_member;
  bool m_listed = true;
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
      [this](std::string_view body, Millis) { return AnswerHeartbeat(body); });
}

Membership::~Membership() {
  Stop();
}

void Membership::AddSection(std::string_view name, HeartbeatSection section) {
  m_sections.insert_or_assign(std::string(name), std::move(section));
}

void Membership::Start() {
  m_self.m_peer_address = m_server.Address();
  m_poll_thread = std::thread([this] { PollList(); });
}

void Membership::Stop() {
  std::vector<std::thread> threads;
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
  for (std::thread& thread : threads) {
    thread.join();
  }
}

bool Membership::WaitStopped(Millis duration) {
  absl::MutexLock lock(&m_mutex);
  return m_mutex.AwaitWithTimeout(absl::Condition(&m_stopping),
                                  absl::Milliseconds(duration.count()));
}

void Membership::PollList() {
  do {
    const Result<VmList> list =
        FetchVmList(m_http, m_options.m_vm_list_url, kVmListTimeout);
    if (list) {
      ApplyList(*list);
    } else {
      // The last list stays in force: an unreadable list says nothing.
      LogError(Severity::kWarning, LogPart::kMembership,
               "Cannot read the list of VMs.", list.error());
    }
  } while (!WaitStopped(m_options.m_vm_list_poll));
}

void Membership::ApplyList(const VmList& list) {
  absl::MutexLock lock(&m_mutex);
  m_leaving_upstreams = list.m_leaving_upstreams;
  for (const auto& [id, peer] : m_peers) {
    peer->m_listed = false;
  }
  for (const VmListEntry& entry : list.m_vms) {
    if (entry.m_id == m_self.m_id) {
      continue;
    }
    std::shared_ptr<Peer>& peer = m_peers[entry.m_id];
    const bool is_new = peer == nullptr;
    if (is_new) {
      peer = std::make_shared<Peer>();
    }
    peer->m_listed = true;
    peer->m_member.m_id = entry.m_id;
    peer->m_member.m_availability_zone = entry.m_zone;
    peer->m_member.m_peer_address = {entry.m_address,
                                     static_cast<uint16_t>(entry.m_peer_port)};
    if (is_new) {
      m_threads.emplace_back([this, peer] { Heartbeat(peer); });
    }
  }
  std::erase_if(m_peers,
                [](const auto& item) { return !item.second->m_listed; });
}

void Membership::Heartbeat(const std::shared_ptr<Peer>& peer) {
  do {
    NetAddress address;
    {
      absl::MutexLock lock(&m_mutex);
      if (!peer->m_listed) {
        return;
      }
      address = peer->m_member.m_peer_address;
    }
    const Millis sent = MonotonicNow();
    const Result<std::string> answer =
        m_client.Call(address, "heartbeat", EncodeMessage(MakeHeartbeat()),
                      kHeartbeatTimeout);
    const Result<json> message =
        answer ? DecodeMessage(*answer)
               : Result<json>(tl::unexpected<Error>(answer.error()));
    if (message) {
      TakeHeartbeat(*message);
      absl::MutexLock lock(&m_mutex);
      peer->m_member.m_last_heard = sent;
    }
  } while (!WaitStopped(m_options.m_heartbeat_interval));
}

json Membership::MakeHeartbeat() const {
  json message = {{"id", m_self.m_id},
                  {"incarnation", m_self.m_incarnation},
                  {"data", m_self.m_has_data_dir},
                  {"draining", m_draining.load()}};
  json& sections = message["sections"] = json::object();
  for (const auto& [name, section] : m_sections) {
    json value = section.m_make();
    if (!value.is_null()) {
      sections[name] = std::move(value);
    }
  }
  return message;
}

void Membership::TakeHeartbeat(const json& message) {
  try {
    const std::string from = message.at("id");
    {
      absl::MutexLock lock(&m_mutex);
      const auto found = m_peers.find(from);
      if (found == m_peers.end()) {
        return;
      }
      Member& member = found->second->m_member;
      message.at("incarnation").get_to(member.m_incarnation);
      message.at("data").get_to(member.m_has_data_dir);
      message.at("draining").get_to(member.m_draining);
    }
    for (const auto& [name, value] : message.at("sections").items()) {
      const auto section = m_sections.find(name);
      if (section != m_sections.end()) {
        section->second.m_take(from, value);
      }
    }
  } catch (const json::exception& error) {
    Log(Severity::kWarning, LogPart::kMembership,
        "Dropped a damaged heartbeat.", {{"error", error.what()}});
  }
}

Result<std::string> Membership::AnswerHeartbeat(std::string_view body) {
  const Result<json> message = DecodeMessage(body);
  if (!message) {
    return tl::unexpected<Error>(message.error());
  }
  TakeHeartbeat(*message);
  return EncodeMessage(MakeHeartbeat());
}

std::vector<Member> Membership::Known() const {
  std::vector<Member> members;
  absl::MutexLock lock(&m_mutex);
  members.push_back(m_self);
  members.back().m_draining = m_draining;
  for (const auto& [id, peer] : m_peers) {
    members.push_back(peer->m_member);
  }
  return members;
}

std::vector<Member> Membership::Live() const {
  const Millis now = MonotonicNow();
  std::vector<Member> members = Known();
  std::erase_if(members, [&](const Member& member) {
    return member.m_id != m_self.m_id &&
           (member.m_last_heard == Millis(0) ||
            now - member.m_last_heard > kSuspectAfter);
  });
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

bool Membership::HasMajorityContact(Millis window) const {
  const Millis now = MonotonicNow();
  absl::MutexLock lock(&m_mutex);
  size_t heard = 1;
  for (const auto& [id, peer] : m_peers) {
    const Millis last = peer->m_member.m_last_heard;
    heard += last != Millis(0) && now - last <= window ? 1 : 0;
  }
  return heard * 2 > m_peers.size() + 1;
}

Result<json> Membership::Call(std::string_view id,
                              std::string_view method,
                              const json& message,
                              Millis timeout) {
  const std::optional<Member> member = Find(id);
  if (!member) {
    return Fail(ResultCode::kPeerUnavailable,
                "VM " + std::string(id) + " is not known");
  }
  const Result<std::string> answer = m_client.Call(
      member->m_peer_address, method, EncodeMessage(message), timeout);
  if (!answer) {
    return tl::unexpected<Error>(answer.error());
  }
  return DecodeMessage(*answer);
}

std::vector<std::string> Membership::LeavingUpstreams() const {
  absl::MutexLock lock(&m_mutex);
  return m_leaving_upstreams;
}

}  // namespace bronzecross
