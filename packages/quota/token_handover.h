// Hands the rate tokens of a quota shard over when its owner changes, so that a
// planned restart or a new VM doesn't leave a workspace without tokens. The VM
// that holds the tokens removes them before it sends them: a lost message loses
// tokens, and never creates any.

#ifndef BRONZECROSS_QUOTA_TOKEN_HANDOVER_H_
#define BRONZECROSS_QUOTA_TOKEN_HANDOVER_H_

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace bronzecross {

// Tokens of one quota shard on their way to its new owner.
struct TokenHandover {
  std::string m_workspace;
  int m_shard = 0;
  double m_tokens = 0;
  // The VM that held them.
  std::string m_from;
  uint64_t m_from_incarnation = 0;
  // That VM is about to stop, and the list of VMs still names it as the owner.
  bool m_is_stopping = false;
};

// How long a handover lets its receiver grant tokens without its share of the
// limits, and own a shard for which the list still names the giver. The list
// and the share follow within about two seconds.
inline constexpr Millis kHandoverValidity{3'000};

// Returns the part of a bucket that belongs to one of `owned` shards.
double TokensOfOneShard(double tokens, int owned);

// Returns the tokens that the new owner holds after it has received `handed`.
// Both VMs earned tokens at `rate_per_s` for `both_earned`; those of one of
// them don't count.
double AddHandedTokens(double own,
                       double handed,
                       double rate_per_s,
                       Millis both_earned,
                       double capacity);

}  // namespace bronzecross

#endif  // BRONZECROSS_QUOTA_TOKEN_HANDOVER_H_
