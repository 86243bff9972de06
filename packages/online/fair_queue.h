// Queue of requests that wait for an upstream: bounded per workspace, FIFO
// within a workspace, round-robin between workspaces.

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

// Thread-safe. Each waiting request blocks its thread until it is at the head
// of the queue. The head looks for an upstream and calls Leave() to let the
// next one proceed.
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

  // `max_per_workspace` is the maximum number of waiting requests of a
  // workspace.
  explicit FairQueue(size_t max_per_workspace);

  bool IsEmpty();

  // Fails with kOverloaded (not run) if the workspace's queue is full.
  // `waiter` must stay valid, at the same address, until Leave().
  Status Join(Waiter& waiter);

  // Waits up to `timeout` for the waiter to be at the head of the queue.
  // Returns whether it is.
  bool WaitTurn(Waiter& waiter, Millis timeout);

  // Removes the waiter, whether or not it got an upstream.
  void Leave(Waiter& waiter);

 private:
  // Returns nullptr if nobody waits.
  Waiter* Head() ABSL_EXCLUSIVE_LOCKS_REQUIRED(m_mutex);

  const size_t m_max_per_workspace;
  absl::Mutex m_mutex;
  std::map<std::string, std::deque<Waiter*>> m_waiters ABSL_GUARDED_BY(m_mutex);
  // Workspaces with waiters, in round-robin order; the front one is next.
  std::deque<std::string> m_order ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_ONLINE_FAIR_QUEUE_H_
