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

Task<> CheckForCrash(Node& node,
                     UpstreamPtr upstream,
                     std::vector<uint32_t> parts,
                     ResponseEnd end) {
  const Millis now = MonotonicNow();
  const std::unique_ptr<TcpStream> stream = co_await TcpStream::Connect(
      upstream->m_entry.m_address, now + kCrashCheckTimeout);
  if (stream == nullptr) {
    node.m_crashing_parts.OnCrash(upstream->m_hash, parts, now);
    node.m_gossip->SendToAllSoon();
  } else if (end == ResponseEnd::kUnframed) {
    node.m_crashing_parts.OnCompletion(parts, now);
  }
}

}  // namespace bronzecross
