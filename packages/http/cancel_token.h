// Cancellation of HTTP calls from another thread.

#ifndef BRONZECROSS_HTTP_CANCEL_TOKEN_H_
#define BRONZECROSS_HTTP_CANCEL_TOKEN_H_

#include <atomic>

namespace bronzecross {

class CancelToken {
 public:
  CancelToken();
  ~CancelToken();
  CancelToken(const CancelToken&) = delete;
  CancelToken& operator=(const CancelToken&) = delete;

  // Cancels the calls that use this token. Thread-safe and idempotent.
  void Cancel();
  bool IsCancelled() const { return m_cancelled.load(); }

  // Returns a descriptor that becomes readable on cancellation.
  int Fd() const { return m_fd; }

 private:
  std::atomic<bool> m_cancelled = false;
  int m_fd;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_HTTP_CANCEL_TOKEN_H_
