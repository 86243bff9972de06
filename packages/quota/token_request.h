// One request for a rate token, as it travels to the workspace's quota owner.

#ifndef BRONZECROSS_QUOTA_TOKEN_REQUEST_H_
#define BRONZECROSS_QUOTA_TOKEN_REQUEST_H_

#include <optional>
#include <string>

#include "base/clock.h"

namespace bronzecross {

// All durations count from the time at which the request is sent or received.
struct TokenRequest {
  std::string m_request_id;
  int m_priority = 0;  // 0 is the highest
  // Maximum wait at a VM that shares its tokens through gossip.
  Millis m_wait_budget;
  // Maximum wait at a quota owner. With a longer one, the response would begin
  // after its latency target.
  Millis m_max_wait;
  // A refusal within this time counts as prompt.
  Millis m_prompt_refusal;
  std::optional<Millis> m_time_left;  // that the caller will wait, if known
  // Set by the owner of another shard of the workspace, which has no token for
  // it: it is granted at once or refused, and not passed on again.
  bool m_is_passed_on = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_QUOTA_TOKEN_REQUEST_H_
