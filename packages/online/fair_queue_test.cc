#include "online/fair_queue.h"

#include <doctest/doctest.h>

namespace bronzecross {

// Guards against a workspace that starves others by queueing many requests.
TEST_CASE(
    "workspaces are served round-robin, and the queue of each is bounded") {
  FairQueue queue(2);
  FairQueue::Waiter a1("a");
  FairQueue::Waiter a2("a");
  FairQueue::Waiter a3("a");
  FairQueue::Waiter b1("b");
  REQUIRE(queue.Join(a1).has_value());
  REQUIRE(queue.Join(a2).has_value());
  CHECK(queue.Join(a3).error().m_code == ResultCode::kOverloaded);
  REQUIRE(queue.Join(b1).has_value());
  CHECK(queue.WaitTurn(a1, Millis(0)));
  CHECK_FALSE(queue.WaitTurn(b1, Millis(0)));
  queue.Leave(a1);
  CHECK(queue.WaitTurn(b1, Millis(0)));
  CHECK_FALSE(queue.WaitTurn(a2, Millis(0)));
  queue.Leave(b1);
  CHECK(queue.WaitTurn(a2, Millis(0)));
  queue.Leave(a2);
  CHECK(queue.IsEmpty());
}

// Guards against a queue that stops when a waiting request is abandoned.
TEST_CASE("a waiter that leaves does not change the order of the others") {
  FairQueue queue(8);
  FairQueue::Waiter a1("a");
  FairQueue::Waiter b1("b");
  FairQueue::Waiter c1("c");
  for (FairQueue::Waiter* waiter : {&a1, &b1, &c1}) {
    REQUIRE(queue.Join(*waiter).has_value());
  }
  queue.Leave(b1);
  CHECK(queue.WaitTurn(a1, Millis(0)));
  queue.Leave(a1);
  CHECK(queue.WaitTurn(c1, Millis(0)));
  queue.Leave(c1);
}

}  // namespace bronzecross
