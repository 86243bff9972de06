// The gossip message that a VM sends to the others several times a second.
// Messages may be lost, delayed or reordered: each holds current values, not
// changes, and a newer message replaces an older one.

#ifndef BRONZECROSS_CLUSTER_GOSSIP_MESSAGE_H_
#define BRONZECROSS_CLUSTER_GOSSIP_MESSAGE_H_

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/clock.h"
#include "cluster/vm_record.h"

namespace bronzecross {

// Number of requests that the sender has in flight at one upstream.
struct UpstreamUse {
  uint32_t m_upstream = 0;  // ShortHash of its id
  int m_online = 0;
  int m_batch = 0;
  int m_urgent = 0;  // batch items among m_batch that are not preempted
  // Mean time per request or event, as recently measured by the sender; zero:
  // not measured.
  double m_work_ms = 0;
  // How long work takes on its machine, in percent of the usual time, by a
  // recent response to the sender, and the age of that; zero: not reported.
  int m_machine_percent = 0;
  Millis m_machine_age;
  // Tokens of the requests in flight; zero if the upstream's memory isn't
  // known.
  int64_t m_tokens = 0;
};

// Rate tokens of one workspace.
struct TokenLevel {
  uint32_t m_workspace = 0;  // ShortHash of its name
  // Held by the sender, minus the requests that wait for a token.
  double m_tokens = 0;
  // Requested by callers of the sender until its next message.
  double m_demand = 0;
};

// Rate tokens that the sender transfers to the receiver and no longer holds.
struct TokenGrant {
  uint32_t m_receiver = 0;  // ShortHash of the VM's id
  uint32_t m_workspace = 0;
  double m_tokens = 0;
  // Last sequence number of the receiver that the sender has seen. A grant with
  // an old number may be a delayed copy and is ignored.
  uint64_t m_seen_sequence = 0;
};

// Number of batch items of one service that wait at the sender.
struct BatchBacklog {
  uint32_t m_service = 0;
  int m_items = 0;
};

// Unfinished batch items of one service in the sender's VM group, per slot of
// the upstreams that the group prefers.
struct BatchLoadReport {
  uint32_t m_service = 0;
  double m_load = 0;
};

// Number of tokens of accepted items that aren't finished.
struct WaitingTokens {
  uint32_t m_route_workspace = 0;
  int64_t m_tokens = 0;
};

// Number of online requests of one service that wait at the sender for a slot.
struct OnlineQueue {
  uint32_t m_service = 0;
  int m_waiting = 0;
};

// A job that the sender runs or has just finished.
struct JobAnnouncement {
  std::string m_job;
  bool m_open = true;
  // Revision of the job's state by which the sender is its owner.
  int64_t m_revision = 0;
};

// An upstream whose crash, or other end of its connections, broke runs of a
// request.
struct RequestCrashReport {
  uint32_t m_upstream_run = 0;  // EngineRunKey of the upstream
  Millis m_age;
  Millis m_started_age;  // since the last of the runs began
  bool m_is_trial = false;
  bool m_is_first_hand = false;  // the sender has seen it itself
};

// Maximum number of crashes in one report.
inline constexpr size_t kMaxReportedCrashes = 8;

// What the sender knows of a request that may crash upstreams.
struct RequestReport {
  uint32_t m_fingerprint = 0;
  // Age of the last complete response that the sender has seen itself.
  std::optional<Millis> m_completed_age;
  std::vector<RequestCrashReport> m_crashes;
};

// Maximum number of parts in one report.
inline constexpr size_t kMaxReportedParts = 6;

// An upstream that crashed at the sender while it began to answer a request.
struct PartCrashReport {
  uint32_t m_upstream = 0;
  Millis m_age;
  // Hashes of the parts of the prompt, at most kMaxReportedParts.
  std::vector<uint32_t> m_parts;
};

// A part of prompts and the age of what the sender says of it.
struct PartReport {
  uint32_t m_part = 0;
  Millis m_age;
};

// Maximum number of prefix reports in one message.
inline constexpr size_t kMaxPrefixReports = 4;

// The start of a prompt that an engine has read for a request of the sender.
struct PrefixReport {
  uint32_t m_engine = 0;  // EngineRunKey of the engine
  uint32_t m_prefix = 0;  // hash of all parts up to the last of the prefix
  int64_t m_tokens = 0;   // of the last part of the prefix
  // Of the parts behind the prefix that aren't reported themselves.
  int64_t m_tokens_behind = 0;
};

struct GossipMessage {
  VmRecord m_sender;
  uint64_t m_sequence = 0;  // increases with each message of an incarnation
  bool m_reaches_store = false;  // without a relay
  // Revisions of the last changes that the sender has seen.
  int64_t m_operator_change = 0;  // of the keys that operators write
  int64_t m_upstream_change = 0;  // of the list of upstreams
  std::vector<UpstreamUse> m_uses;
  std::vector<TokenLevel> m_levels;
  std::vector<TokenGrant> m_grants;
  std::vector<BatchBacklog> m_backlogs;
  // Only in messages to the VMs of other groups.
  std::vector<BatchLoadReport> m_batch_loads;
  std::vector<WaitingTokens> m_waiting_tokens;
  std::vector<OnlineQueue> m_queues;
  std::vector<JobAnnouncement> m_jobs;
  std::vector<RequestReport> m_request_reports;
  std::vector<PartCrashReport> m_part_crashes;
  // Parts that crash upstreams, and the first crash that counts.
  std::vector<PartReport> m_blamed_parts;
  // Parts that another VM blames wrongly, and their last complete response.
  std::vector<PartReport> m_exonerated_parts;
  // The newest first, at most kMaxPrefixReports. None unless prompt affinity is
  // on.
  std::vector<PrefixReport> m_prefixes;
};

// Returns 32 bits of the hash of an id, which keep the message short.
uint32_t ShortHash(std::string_view id);

// Returns the message without the lists that VMs of other groups don't need.
GossipMessage GossipForOtherGroups(GossipMessage gossip);

std::string EncodeGossip(const GossipMessage& gossip);
// Returns std::nullopt if `bytes` is not a valid message.
std::optional<GossipMessage> DecodeGossip(std::string_view bytes);

}  // namespace bronzecross

#endif  // BRONZECROSS_CLUSTER_GOSSIP_MESSAGE_H_
