#include "gateway/peer_server.h"

#include <nlohmann/json.hpp>

#include "base/log.h"
#include "base/text.h"
#include "gateway/changes_message.h"
#include "gateway/incoming_request.h"
#include "gateway/job_calls.h"
#include "gateway/job_submission.h"
#include "gateway/peer_calls.h"
#include "gateway/token_calls.h"
#include "http1/write_message.h"
#include "kv/prefix_follower.h"

namespace bronzecross {
namespace {

// An idle connection of a peer is closed after this time. It is longer than the
// time for which a peer reuses an idle connection (8 s), so that a peer doesn't
// send a call on a connection that is about to be closed.
constexpr Millis kIdleTimeout{20'000};

// Maximum time for receiving a peer's request body or sending the reply.
constexpr Millis kTransferTimeout{10'000};

// Deadline of a store call that is relayed for a peer. A watch waits up to half
// a minute.
constexpr Millis kStoreTimeout{30'000};

// Maximum time that a call for changes waits. The peer then repeats the call.
constexpr Millis kMaxChangesWait{30'000};

constexpr size_t kMaxBodyBytes = 8 << 20;

// Maximum size of the header section of a call.
constexpr size_t kMaxHeaderBytes = 32 << 10;

// Calls of other VMs share one group of the memory budget.
constexpr std::string_view kPeerGroup = "\npeers";

MessageHead MakeHead(int status) {
  MessageHead head;
  head.m_status = status;
  return head;
}

void QueueReply(HttpConnection& peer, MessageHead head, std::string_view body) {
  head.Add("Content-Length", Concat(body.size()));
  std::optional<std::string> text = WriteResponseHead(head);
  if (!text) {
    QueueReply(peer, MakeHead(500), "");
    return;
  }
  peer.Queue(*text);
  peer.Queue(body);
}

// Relays a store call for a VM that can't reach the store.
Task<> HandleStoreCall(Node& node, HttpConnection& peer) {
  const MessageHead& head = peer.Parser().GetHead();
  KvCall call;
  call.m_name = "relayed";
  call.m_method = std::string(head.Find(kPeerMethodField));
  call.m_target = std::string(head.Find(kPeerTargetField));
  call.m_body = std::move(peer.Parser().Body());
  const Result<KvReply> reply = co_await node.m_kv.CallForPeer(
      std::move(call), MonotonicNow() + kStoreTimeout);
  if (!reply) {
    MessageHead failed = MakeHead(502);
    failed.Add(kPeerRunField, RunStateName(reply.error().m_run));
    QueueReply(peer, std::move(failed), "");
    co_return;
  }
  MessageHead reply_head = MakeHead(200);
  reply_head.Add(kPeerStatusField, Concat(reply->m_status));
  QueueReply(peer, std::move(reply_head), reply->m_body);
}

Task<> HandleJobCall(Node& node, HttpConnection& peer) {
  const MessageHead head = peer.Parser().GetHead();
  const CallerReply reply = co_await ServeForwardedJobCall(node, head);
  MessageHead reply_head = MakeHead(200);
  reply_head.Add(kPeerStatusField, Concat(reply.m_status));
  reply_head.Add(kPeerContentTypeField, reply.m_content_type);
  QueueReply(peer, std::move(reply_head), reply.m_body);
}

// Stores a job that another VM has passed on.
Task<> HandleSubmitCall(Node& node, HttpConnection& peer) {
  const MessageHead head = peer.Parser().GetHead();
  std::string body = std::move(peer.Parser().Body());
  const CallerReply reply =
      co_await ServeForwardedSubmission(node, head, std::move(body));
  MessageHead reply_head = MakeHead(200);
  reply_head.Add(kPeerStatusField, Concat(reply.m_status));
  reply_head.Add(kPeerContentTypeField, reply.m_content_type);
  reply_head.Add(kPeerRetryAfterField, Concat(reply.m_retry_after.count()));
  QueueReply(peer, std::move(reply_head), reply.m_body);
}

// Grants a rate token of a workspace whose limit is kept on this VM. Replies
// with 429 if the workspace is over its rate, and with 404 if this VM can't
// decide about the request.
Task<> HandleTokenCall(Node& node, HttpConnection& peer) {
  const MessageHead head = peer.Parser().GetHead();
  co_await node.WaitUntilConfigured();
  const FleetConfigPtr config = node.m_config;
  const Workspace* workspace =
      config == nullptr
          ? nullptr
          : FindWorkspaceByName(*config, head.Find(kPeerWorkspaceField));
  std::optional<TokenRequest> request = DecodeTokenRequest(head);
  if (workspace == nullptr || !request ||
      !node.m_quotas.IsOwnerReady(*workspace)) {
    QueueReply(peer, MakeHead(404), "");
    co_return;
  }
  CallerCancellation cancellation(peer, node.m_is_stopping);
  const Status admitted = co_await node.m_quotas.AdmitForPeer(
      std::move(*request), *workspace, cancellation);
  if (!admitted && admitted.error().m_code != ResultCode::kRateLimited) {
    QueueReply(peer, MakeHead(404), "");
    co_return;
  }
  MessageHead reply_head = MakeHead(admitted ? 200 : 429);
  if (!admitted) {
    reply_head.Add(kPeerRetryAfterField,
                   Concat(admitted.error().m_retry_after.count()));
  }
  QueueReply(peer, std::move(reply_head), "");
}

// Receives the rate tokens of a quota shard that this VM now owns.
Task<> HandleTokenHandover(Node& node, HttpConnection& peer) {
  const std::optional<TokenHandover> handover =
      DecodeTokenHandover(peer.Parser().GetHead());
  co_await node.WaitUntilConfigured();
  const FleetConfigPtr config = node.m_config;
  const Workspace* workspace =
      config == nullptr || !handover
          ? nullptr
          : FindWorkspaceByName(*config, handover->m_workspace);
  if (workspace == nullptr) {
    QueueReply(peer, MakeHead(404), "");
    co_return;
  }
  node.m_quotas.AcceptHandover(*handover, *workspace, MonotonicNow());
  QueueReply(peer, MakeHead(200), "");
}

// Reports store changes to a VM that doesn't watch the store.
Task<> HandleChangesCall(Node& node, HttpConnection& peer) {
  const MessageHead& head = peer.Parser().GetHead();
  PrefixFollower* follower = node.FindFollower(head.Find(kPeerPrefixField));
  const std::optional<int64_t> after = ParseDecimal(head.Find(kPeerAfterField));
  const std::optional<int64_t> wait =
      ParseDecimal(head.Find(kPeerWaitBudgetField));
  if (follower == nullptr || !after || !wait) {
    QueueReply(peer, MakeHead(404), "");
    co_return;
  }
  const bool only_if_watching = !head.Find(kPeerOnlyIfWatchingField).empty();
  const Result<KvChanges> changes = co_await follower->Share(
      *after, std::min(Millis(*wait), kMaxChangesWait), only_if_watching);
  if (!changes) {
    QueueReply(peer, MakeHead(503), "");
    co_return;
  }
  QueueReply(peer, MakeHead(200), EncodeChanges(*changes));
}

// Lists the VMs that this one knows, for a VM that starts while the store is
// unreachable.
void HandleVmsCall(Node& node, HttpConnection& peer) {
  nlohmann::json list = nlohmann::json::array();
  list.push_back(EncodeVmRecord(node.m_cluster.Self()));
  for (auto entry = node.m_cluster.Peers().begin();
       entry != node.m_cluster.Peers().end(); ++entry) {
    list.push_back(EncodeVmRecord(entry->second.m_record));
  }
  QueueReply(peer, MakeHead(200), list.dump());
}

// Reads one call. Returns false if the connection should be closed.
Task<bool> ReadCall(HttpConnection& peer) {
  const bool has_head = co_await peer.ReadHead(MonotonicNow() + kIdleTimeout);
  if (!has_head) {
    co_return false;
  }
  co_return co_await peer.ReadBody(MonotonicNow() + kTransferTimeout,
                                   kMaxBodyBytes);
}

}  // namespace

Task<> ServePeer(Node& node, std::unique_ptr<TcpStream> stream) {
  BudgetLease lease(node.m_budget);
  lease.JoinGroup(kPeerGroup);
  HttpConnection peer(std::move(stream), MessageKind::kRequest);
  ConnectionTable::Entry entry(node.m_peer_table, peer.Stream());
  ReadBounds bounds;
  bounds.m_lease = &lease;
  bounds.m_incomplete_head_bytes = kMaxHeaderBytes;
  peer.SetBounds(bounds);
  for (;;) {
    entry.SetClosable(true);
    const bool has_call = co_await ReadCall(peer);
    if (!has_call) {
      node.CountRefusal(peer.Fault());
      co_return;
    }
    entry.SetClosable(false);
    const std::string target = peer.Parser().GetHead().m_target;
    if (target == kPeerStorePath) {
      co_await HandleStoreCall(node, peer);
    } else if (target == kPeerChangesPath) {
      co_await HandleChangesCall(node, peer);
    } else if (target == kPeerTokenPath) {
      co_await HandleTokenCall(node, peer);
    } else if (target == kPeerTokenHandoverPath) {
      co_await HandleTokenHandover(node, peer);
    } else if (target.starts_with(kPeerSubmitPath)) {
      co_await HandleSubmitCall(node, peer);
    } else if (target.starts_with(kPeerJobPath)) {
      co_await HandleJobCall(node, peer);
    } else if (target == kPeerVmsPath) {
      HandleVmsCall(node, peer);
    } else {
      QueueReply(peer, MakeHead(404), "");
    }
    const bool keep = peer.Parser().MayKeepAlive();
    peer.CountHeld(0);
    const bool sent = co_await peer.FlushAll(MonotonicNow() + kTransferTimeout);
    if (!sent || !keep) {
      co_return;
    }
    peer.StartNextMessage();
  }
}

}  // namespace bronzecross
