#include "gateway/crash_check.h"

#include <memory>

#include "gateway/gossip_exchange.h"
#include "gateway/node.h"

namespace bronzecross {
namespace {

// An upstream whose port still accepts connections within this time runs, so
// that a broken response isn't its crash.
constexpr Millis kCrashCheckTimeout{350};

static_assert(platform::kMaxSharedParts <= kMaxReportedParts);

}  // namespace

void RecordRequestCrash(Node& node,
                        const Upstream& upstream,
                        const EndedRun& run) {
  const bool has_changed = node.m_poison_requests.RecordCrash(
      run.m_fingerprint, {.m_upstream_run = upstream.m_run_key,
                          .m_at = BootNow(),
                          .m_started = run.m_started,
                          .m_is_trial = run.m_is_trial,
                          .m_is_own = true,
                          .m_is_first_hand = true});
  if (has_changed) {
    node.m_gossip->SendToAllSoon();
  }
}

void RecordRequestCompletion(Node& node, const EndedRun& run) {
  if (node.m_poison_requests.RecordCompletion(run.m_fingerprint, BootNow())) {
    node.m_gossip->SendToAllSoon();
  }
}

Task<> CheckForCrash(Node& node,
                     UpstreamPtr upstream,
                     EndedRun run,
                     ResponseEnd end) {
  const Millis now = MonotonicNow();
  const std::unique_ptr<TcpStream> stream = co_await TcpStream::Connect(
      upstream->m_entry.m_address, now + kCrashCheckTimeout);
  if (stream == nullptr) {
    if (end == ResponseEnd::kUnframed) {
      RecordRequestCrash(node, *upstream, run);
    }
    if (!run.m_parts.empty()) {
      node.m_crashing_parts.OnCrash(upstream->m_hash, run.m_parts, now);
      node.m_gossip->SendToAllSoon();
    }
  } else if (end == ResponseEnd::kUnframed) {
    RecordRequestCompletion(node, run);
    node.m_crashing_parts.OnCompletion(run.m_parts, now);
  }
}

}  // namespace bronzecross
