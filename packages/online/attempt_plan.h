// Describes one caller's request for the attempts to send it to upstreams.

#ifndef BRONZECROSS_ONLINE_ATTEMPT_PLAN_H_
#define BRONZECROSS_ONLINE_ATTEMPT_PLAN_H_

#include <memory>
#include <string>
#include <vector>

#include "http/http_message.h"
#include "online/key_guard.h"

namespace bronzecross {

struct AttemptPlan {
  // Valid until the reply is written.
  const HttpRequest* m_request = nullptr;
  std::string m_id;
  // Cancels the request when its key is withdrawn; null on open routes
  // and for requests that the receipt service runs.
  std::shared_ptr<GuardedCall> m_guarded_call;
  std::string m_workspace;
  // Exactly one of m_model and m_service is set.
  std::string m_model;
  std::string m_service;
  // Replaces the request's body if not empty.
  std::string m_body;
  std::vector<uint64_t> m_prefixes;
  // Identifies poison requests; zero: crashes are not counted.
  uint64_t m_fingerprint = 0;
  bool m_idempotent = true;
  Millis m_deadline;
  // Whether the caller set a shorter timeout than the default. A timeout is
  // then not counted as a failure of the upstream.
  bool m_short_deadline = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_ATTEMPT_PLAN_H_
