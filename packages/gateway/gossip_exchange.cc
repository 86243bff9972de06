#include "gateway/gossip_exchange.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"
#include "gateway/job_submission.h"
#include "jobs/job_service.h"
#include "kv/prefix_follower.h"

namespace bronzecross {
namespace {

// Maximum time between two full messages.
constexpr Millis kRegularInterval{100};

// Interval between brief messages to the VMs of other VM groups. They announce
// which VMs are alive and which jobs each of them owns. Three intervals fit
// into the time for which a peer counts as recently seen.
constexpr Millis kBriefInterval{800};

// In large fleets brief messages are sent less often, so that each VM sends at
// most about 80 of them per second. The interval can then exceed the time for
// which a peer counts as recently seen, and only the store shows which VMs are
// alive.
constexpr Millis kBriefIntervalPerVm{12};

// Minimum time between two messages.
constexpr Millis kMinInterval{20};

Millis BriefInterval(int fleet_size) {
  return std::max(kBriefInterval, kBriefIntervalPerVm * fleet_size);
}

}  // namespace

bool IsGossipFrequent(int fleet_size) {
  return BriefInterval(fleet_size) <= kRecentlySeenWindow;
}

Status GossipExchange::Open() {
  Result<std::unique_ptr<DatagramSocket>> socket = DatagramSocket::Open(
      m_node.m_settings.m_peers, [this](std::string_view bytes) {
        try {
          OnDatagram(bytes);
        } catch (const std::exception& error) {
          Log(Severity::kError, LogPart::kPeers,
              "A gossip message couldn't be handled.",
              {{"reason", error.what()}});
        }
      });
  if (!socket) {
    return tl::unexpected<Error>(socket.error());
  }
  m_socket = *std::move(socket);
  return {};
}

void GossipExchange::SendSoon() {
  m_send_soon = true;
  m_send_soon_changed.NotifyAll();
}

void GossipExchange::SendToAllSoon() {
  m_next_brief = Millis();
  SendSoon();
}

GossipMessage GossipExchange::MakeGossip(Millis now) {
  GossipMessage message;
  message.m_sender = m_node.m_cluster.Self();
  message.m_sequence = ++m_sequence;
  message.m_reaches_store = m_node.m_kv.ReachesDirectly();
  message.m_operator_change = m_node.m_operator_follower->LastChange();
  message.m_upstream_change = m_node.m_upstream_follower->LastChange();
  for (const UpstreamPtr& upstream : m_node.m_upstreams.InUse(now)) {
    message.m_uses.push_back(MakeUse(*upstream, now));
  }
  for (auto entry = m_node.m_queues.begin(); entry != m_node.m_queues.end();
       ++entry) {
    if (entry->second.LocalQueueLength() > 0) {
      message.m_queues.push_back(
          {ShortHash(entry->first), entry->second.LocalQueueLength()});
    }
  }
  if (m_node.m_config != nullptr) {
    m_node.m_quotas.AddToGossip(*m_node.m_config, message, now);
  }
  m_node.m_poison_requests.AddToGossip(message, BootNow());
  m_node.m_crashing_parts.AddToGossip(message, now);
  m_node.m_prompt_cache.AddToGossip(message, now);
  m_node.m_jobs->AddToGossip(message, now);
  return message;
}

void GossipExchange::SendGossip(Millis now) {
  GossipMessage message = MakeGossip(now);
  const std::string full = EncodeGossip(message);
  const VmGroup& cell = m_node.m_cluster.OwnGroup();
  std::string brief;
  if (!cell.m_is_whole_fleet && now >= m_next_brief) {
    if (m_node.m_settings.m_forward_jobs) {
      AddBatchLoads(m_node, message, now);
    }
    brief = EncodeGossip(GossipForOtherGroups(std::move(message)));
    m_next_brief = now + BriefInterval(cell.m_fleet_size);
  }
  for (auto entry = m_node.m_cluster.Peers().begin();
       entry != m_node.m_cluster.Peers().end(); ++entry) {
    const std::string& bytes = cell.Contains(entry->first) ? full : brief;
    if (!bytes.empty()) {
      m_socket->Send(entry->second.m_record.m_address, bytes);
    }
  }
}

Task<> GossipExchange::Run() {
  for (;;) {
    const Millis sent = MonotonicNow();
    m_send_soon = false;
    SendGossip(sent);
    while (!m_send_soon && MonotonicNow() < sent + kRegularInterval) {
      WaitAny wait(sent + kRegularInterval);
      wait.Add(m_send_soon_changed);
      co_await wait;
    }
    if (MonotonicNow() < sent + kMinInterval) {
      co_await WaitAny(sent + kMinInterval);
    }
  }
}

void GossipExchange::OnDatagram(std::string_view bytes) {
  std::optional<GossipMessage> message = DecodeGossip(bytes);
  if (!message) {
    Log(Severity::kWarning, LogPart::kPeers,
        "A gossip message can't be decoded.", {{"bytes", bytes.size()}});
    return;
  }
  const Millis now = MonotonicNow();
  const PeerVm* peer = m_node.m_cluster.OnGossip(*std::move(message), now);
  if (peer == nullptr) {
    return;
  }
  m_node.m_configured.NotifyAll();
  m_node.m_operator_follower->OnPeerChange(peer->m_gossip.m_operator_change,
                                           now);
  m_node.m_upstream_follower->OnPeerChange(peer->m_gossip.m_upstream_change,
                                           now);
  m_node.m_jobs->OnGossip(peer->m_gossip, now);
  m_node.m_poison_requests.OnGossip(peer->m_gossip, BootNow());
  m_node.m_crashing_parts.OnGossip(peer->m_gossip, now);
  if (!m_node.m_cluster.OwnGroup().Contains(peer->m_record.m_id)) {
    return;
  }
  m_node.m_quotas.OnGossip(peer->m_gossip, m_sequence, now);
  if (m_node.m_settings.m_prompt_affinity) {
    m_node.m_prompt_cache.OnGossip(peer->m_gossip, now);
  }
  m_node.m_upstreams.UpdatePeerPace(peer->m_gossip, now);
  m_node.m_upstreams.UpdatePeerLoad(m_node.m_cluster, now);
  m_node.m_jobs->Scheduler().PreemptAtOverfullUpstreams();
  m_node.DispatchAll();
}

}  // namespace bronzecross
