#include "routing/prompt_prefix.h"

#include <array>

#include "base/hash.h"

namespace bronzecross {
namespace {

// Engines cache blocks of 16 tokens, about 64 bytes. Longer prefixes are
// sampled at these lengths only, which keeps the memory per prompt constant.
constexpr std::array<size_t, 4> kLengths = {64, 256, 1024, 4096};
constexpr size_t kMaxPrefixes = 1024;
constexpr Millis kMaxPrefixAge{300'000};

}  // namespace

std::vector<uint64_t> PrefixHashes(std::string_view prompt) {
  std::vector<uint64_t> hashes;
  for (const size_t length : kLengths) {
    if (prompt.size() >= length) {
      hashes.push_back(Hash64(prompt.substr(0, length), length));
    }
  }
  return hashes;
}

void RecordPrefix(PrefixHistory& history, uint64_t hash, Millis now) {
  if (history.m_seen.insert_or_assign(hash, now).second) {
    history.m_order.push_back(hash);
  }
  if (history.m_order.size() > kMaxPrefixes) {
    history.m_seen.erase(history.m_order.front());
    history.m_order.pop_front();
  }
}

double PrefixMatch(const PrefixHistory& history,
                   std::span<const uint64_t> hashes,
                   Millis now) {
  size_t matched = 0;
  for (const uint64_t hash : hashes) {
    const auto found = history.m_seen.find(hash);
    if (found == history.m_seen.end() || now - found->second > kMaxPrefixAge) {
      break;
    }
    ++matched;
  }
  return hashes.empty() ? 0
                        : static_cast<double>(matched) /
                              static_cast<double>(hashes.size());
}

}  // namespace bronzecross
