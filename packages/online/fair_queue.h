// Requests that wait for an upstream: bounded per workspace, first come first
// served within a workspace, round-robin between workspaces.

#ifndef BRONZECROSS_ONLINE_FAIR_QUEUE_H_
#define BRONZECROSS_ONLINE_FAIR_QUEUE_H_

#include <cstddef>
#include <deque>
#include <map>
#include <string>

#include <absl/synchronization/mutex.h>

#include "base/clock.h"
#include "base/error.h"

namespace bronzecross {

// Thread-safe. Waiting threads block; the one whose turn it is looks for an
// upstream and passes the turn on with Leave().
class FairQueue {
 public:
  class Waiter {
   public:
    explicit Waiter(std::string workspace)
        : m_workspace(std::move(workspace)) {}

   private:
    friend class FairQueue;
    const std::string m_workspace;
    absl::CondVar m_turn;
  };

  // At most `max_per_workspace` requests of one workspace wait at once.
  explicit FairQueue(size_t max_per_workspace);

  bool IsEmpty();

  // Fails with kOverloaded (not run) if the workspace's queue is full.
  // `waiter` must stay in place until Leave().
  Status Join(Waiter& waiter);

  // Whether it is the waiter's turn; waits up to `timeout` for it.
  bool WaitTurn(Waiter& waiter, Millis timeout);

  // Ends the waiting, with or without an upstream.
  void Leave(Waiter& waiter);

 private:
  Waiter* Head() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  const size_t m_max_per_workspace;
  absl::Mutex m_mutex;
  std::map<std::string, std::deque<Waiter*>> m_waiters ABSL_GUARDED_BY(m_mutex);
  // Workspaces with waiters; the front one has the turn.
  std::deque<std::string> m_order ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_FAIR_QUEUE_H_
