#include "gateway/news_exchange.h"

#include <algorithm>

#include "aio/wait.h"
#include "base/log.h"
#include "jobs/job_service.h"
#include "kv/prefix_follower.h"

namespace bronzecross {
namespace {

// News are sent at least so often.
constexpr Millis kRegularInterval{100};

// News to VMs of other cells, which say who is alive and owns which jobs. Three
// fit into the time for which a peer counts as heard.
constexpr Millis kBriefInterval{800};

// In large fleets brief news are sent less often, so that each VM sends at most
// 80 a second. Then only the store tells who is alive.
constexpr Millis kBriefPerPeer{12};

// And at most so often.
constexpr Millis kLeastInterval{20};

}  // namespace

Status NewsExchange::Open() {
  Result<std::unique_ptr<DatagramSocket>> socket = DatagramSocket::Open(
      m_node.m_settings.m_peers,
      [this](std::string_view bytes) { OnDatagram(bytes); });
  if (!socket) {
    return tl::unexpected<Error>(socket.error());
  }
  m_socket = *std::move(socket);
  return {};
}

void NewsExchange::SendSoon() {
  m_soon = true;
  m_soon_changed.NotifyAll();
}

PeerNews NewsExchange::MakeNews(Millis now) {
  PeerNews news;
  news.m_sender = m_node.m_cluster.Self();
  news.m_sequence = ++m_sequence;
  news.m_reaches_store = m_node.m_kv.ReachesDirectly();
  news.m_operator_change = m_node.m_operator->LastChange();
  news.m_upstream_change = m_node.m_upstream_list->LastChange();
  for (auto entry = m_node.m_upstreams.All().begin();
       entry != m_node.m_upstreams.All().end(); ++entry) {
    const Upstream& upstream = *entry->second;
    if (upstream.m_online > 0 || upstream.m_batch > 0) {
      news.m_uses.push_back({upstream.m_hash, upstream.m_online,
                             upstream.m_batch, upstream.m_urgent});
    }
  }
  for (auto entry = m_node.m_queues.begin(); entry != m_node.m_queues.end();
       ++entry) {
    if (entry->second.WaitingHere() > 0) {
      news.m_queues.push_back(
          {ShortHash(entry->first), entry->second.WaitingHere()});
    }
  }
  if (m_node.m_config != nullptr) {
    m_node.m_quotas.AddToGossip(*m_node.m_config, news, now);
  }
  m_node.m_breaks.AddToNews(news, now);
  m_node.m_jobs->AddToNews(news, now);
  return news;
}

void NewsExchange::SendNews(Millis now) {
  PeerNews news = MakeNews(now);
  const std::string whole = EncodeNews(news);
  const Cell& cell = m_node.m_cluster.OwnCell();
  std::string brief;
  if (!cell.m_is_whole_fleet && now >= m_next_brief) {
    brief = EncodeNews(BriefNews(std::move(news)));
    m_next_brief =
        now + std::max(kBriefInterval, kBriefPerPeer * cell.m_fleet_size);
  }
  for (auto entry = m_node.m_cluster.Peers().begin();
       entry != m_node.m_cluster.Peers().end(); ++entry) {
    const std::string& bytes = cell.Contains(entry->first) ? whole : brief;
    if (!bytes.empty()) {
      m_socket->Send(entry->second.m_record.m_address, bytes);
    }
  }
}

Task<> NewsExchange::Run() {
  for (;;) {
    const Millis sent = MonotonicNow();
    m_soon = false;
    SendNews(sent);
    while (!m_soon && MonotonicNow() < sent + kRegularInterval) {
      WaitAny wait(sent + kRegularInterval);
      wait.Add(m_soon_changed);
      co_await wait;
    }
    if (MonotonicNow() < sent + kLeastInterval) {
      co_await WaitAny(sent + kLeastInterval);
    }
  }
}

void NewsExchange::OnDatagram(std::string_view bytes) {
  std::optional<PeerNews> news = DecodeNews(bytes);
  if (!news) {
    Log(Severity::kWarning, LogPart::kPeers, "News can't be read.",
        {{"bytes", bytes.size()}});
    return;
  }
  const Millis now = MonotonicNow();
  const PeerVm* peer = m_node.m_cluster.OnNews(*std::move(news), now);
  if (peer == nullptr) {
    return;
  }
  m_node.m_operator->OnPeerChange(peer->m_news.m_operator_change, now);
  m_node.m_upstream_list->OnPeerChange(peer->m_news.m_upstream_change, now);
  m_node.m_jobs->OnNews(peer->m_news, now);
  if (!m_node.m_cluster.OwnCell().Contains(peer->m_record.m_id)) {
    return;
  }
  m_node.m_quotas.OnGossip(peer->m_news, m_sequence, now);
  m_node.m_upstreams.OnPeerUses(m_node.m_cluster, now);
  m_node.m_jobs->Scheduler().YieldOverfull();
  m_node.DispatchAll();
}

}  // namespace bronzecross
