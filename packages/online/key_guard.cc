#include "online/key_guard.h"

#include <absl/time/time.h>

#include "base/log.h"

namespace bronzecross {
namespace {

constexpr Millis kCheckInterval{500};

}  // namespace

Error GuardedCall::MapError(Error error) const {
  const ResultCode reason = m_reason;
  if (error.m_code != ResultCode::kCancelled || reason == ResultCode::kOk) {
    return error;
  }
  error.m_code = reason;
  error.m_message = reason == ResultCode::kInvalidKey
                        ? "the key was withdrawn"
                        : "this VM cannot confirm its configuration";
  // Set whether or not anything was sent before the call was cancelled.
  error.m_run = RunState::kUnknown;
  return error;
}

KeyGuard::KeyGuard(ConfigHolder& config, std::function<bool()> is_fresh)
    : m_config(config), m_is_fresh(std::move(is_fresh)) {}

KeyGuard::~KeyGuard() {
  Stop();
}

void KeyGuard::Start() {
  m_thread = std::thread([this] { Run(); });
}

void KeyGuard::Stop() {
  {
    absl::MutexLock lock(&m_mutex);
    m_stopping = true;
  }
  if (m_thread.joinable()) {
    m_thread.join();
  }
}

std::shared_ptr<GuardedCall> KeyGuard::Watch(Caller caller) {
  const std::shared_ptr<GuardedCall> call =
      std::make_shared<GuardedCall>(std::move(caller));
  absl::MutexLock lock(&m_mutex);
  m_calls.push_back(call);
  return call;
}

void KeyGuard::Run() {
  Millis last_check = MonotonicNow();
  while (true) {
    {
      absl::MutexLock lock(&m_mutex);
      if (m_mutex.AwaitWithTimeout(
              absl::Condition(&m_stopping),
              absl::Milliseconds(kCheckInterval.count()))) {
        return;
      }
    }
    const Millis now = MonotonicNow();
    // After a pause of the process the manifest counts as unconfirmed only
    // because there was no time to confirm it. Calls are not cancelled for that
    // until the next check.
    CheckAll(m_is_fresh() || now - last_check > kCheckInterval * 3);
    last_check = now;
  }
}

void KeyGuard::CheckAll(bool confirmed) {
  std::vector<std::shared_ptr<GuardedCall>> calls;
  {
    absl::MutexLock lock(&m_mutex);
    std::erase_if(m_calls, [&calls](const std::weak_ptr<GuardedCall>& weak) {
      std::shared_ptr<GuardedCall> call = weak.lock();
      if (call == nullptr || call->m_reason != ResultCode::kOk) {
        return true;
      }
      calls.push_back(std::move(call));
      return false;
    });
  }
  const std::shared_ptr<const ConfigSnapshot> config = m_config.Get();
  for (const std::shared_ptr<GuardedCall>& call : calls) {
    if (confirmed && IsKeyValid(call->m_caller, *config)) {
      continue;
    }
    const ResultCode reason =
        confirmed ? ResultCode::kInvalidKey : ResultCode::kStaleConfig;
    call->m_reason = reason;
    call->m_cancel.Cancel();
    Log(Severity::kInfo, LogPart::kOnline,
        "Cancelled a call whose key is not confirmed as valid.",
        {{"workspace", call->m_caller.m_workspace},
         {"reason", GetResultCodeInfo(reason).m_name}});
  }
}

}  // namespace bronzecross
