// One caller's request as it is sent to upstreams, perhaps several times.

#ifndef BRONZECROSS_ONLINE_ATTEMPT_PLAN_H_
#define BRONZECROSS_ONLINE_ATTEMPT_PLAN_H_

#include <memory>
#include <string>
#include <vector>

#include "http/http_message.h"
#include "online/key_guard.h"

namespace bronzecross {

struct AttemptPlan {
  // Lives until the reply is written.
  const HttpRequest* m_request = nullptr;
  std::string m_id;
  // Cancels the request when its key is withdrawn; null on open routes.
  std::shared_ptr<GuardedCall> m_guard;
  std::string m_workspace;
  // One of both is empty.
  std::string m_model;
  std::string m_service;
  // Replaces the request's body if not empty.
  std::string m_body;
  std::vector<uint64_t> m_prefixes;
  // Zero: the request is not charged for crashes.
  uint64_t m_fingerprint = 0;
  bool m_idempotent = true;
  Millis m_deadline;
  // The caller allowed less than the usual time, so that running out of it says
  // nothing about the upstream.
  bool m_short_deadline = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_ATTEMPT_PLAN_H_
