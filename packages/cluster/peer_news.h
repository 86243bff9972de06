// What a VM tells the others several times a second. News may be lost, late or
// out of order: each states the present, and a newer one replaces it.

#ifndef BRONZECROSS_CLUSTER_PEER_NEWS_H_
#define BRONZECROSS_CLUSTER_PEER_NEWS_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "cluster/vm_record.h"

namespace bronzecross {

// Requests that the sender has in flight at one upstream.
struct UpstreamUse {
  uint32_t m_upstream = 0;  // ShortHash of its id
  int m_online = 0;
  int m_batch = 0;
  int m_urgent = 0;  // of the batch items: those that don't stand aside
};

// Rate tokens of one workspace.
struct TokenLevel {
  uint32_t m_workspace = 0;  // ShortHash of its name
  double m_tokens =
      0;  // held by the sender, less the requests that wait for one
  double m_demand = 0;  // asked for by its callers until its next news
};

// Rate tokens that the sender gave away; it no longer holds them.
struct TokenGrant {
  uint32_t m_receiver = 0;  // ShortHash of the VM's id
  uint32_t m_workspace = 0;
  double m_tokens = 0;
  // The receiver's sequence that the sender saw last. A grant for old news may
  // be a delayed copy and isn't taken.
  uint64_t m_seen_sequence = 0;
};

// Batch work of one service that waits at the sender.
struct BatchBacklog {
  uint32_t m_service = 0;
  int m_items = 0;
};

// Tokens of accepted items that aren't finished.
struct WaitingTokens {
  uint32_t m_route_workspace = 0;
  int64_t m_tokens = 0;
};

// Online requests of one service that wait at the sender for a slot.
struct OnlineQueue {
  uint32_t m_service = 0;
  int m_waiting = 0;
};

// A job that the sender runs or has just finished.
struct JobNews {
  std::string m_job;
  bool m_open = true;
};

// How often one request broke the answers of upstreams at the sender.
struct RequestBreaks {
  uint32_t m_fingerprint = 0;
  int m_count = 0;
};

struct PeerNews {
  VmRecord m_sender;
  uint64_t m_sequence = 0;       // rises with each news of one incarnation
  bool m_reaches_store = false;  // directly
  // Revisions of the last changes that the sender has seen.
  int64_t m_operator_change = 0;  // of what operators write
  int64_t m_upstream_change = 0;  // of the list of upstreams
  std::vector<UpstreamUse> m_uses;
  std::vector<TokenLevel> m_levels;
  std::vector<TokenGrant> m_grants;
  std::vector<BatchBacklog> m_backlogs;
  std::vector<WaitingTokens> m_waiting_tokens;
  std::vector<OnlineQueue> m_queues;
  std::vector<JobNews> m_jobs;
  std::vector<RequestBreaks> m_breaks;
};

// 32 bits of the hash of an id, to keep news short.
uint32_t ShortHash(std::string_view id);

// The part of the news that VMs of other cells need.
PeerNews BriefNews(PeerNews news);

std::string EncodeNews(const PeerNews& news);
// Nothing if `bytes` is no news.
std::optional<PeerNews> DecodeNews(std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_PEER_NEWS_H_
