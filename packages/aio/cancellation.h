// Cancellation of running operations on the event loop.

#ifndef BRONZECROSS_AIO_CANCELLATION_H_
#define BRONZECROSS_AIO_CANCELLATION_H_

#include "aio/waiter.h"

namespace bronzecross {

// Polled and awaited by an operation whose result may become unwanted.
class Cancellation {
 public:
  virtual ~Cancellation() = default;
  virtual bool IsCancelled() = 0;
  // Notified when IsCancelled() may have changed.
  virtual Condition& Changed() = 0;
};

// A cancellation that is triggered by Cancel().
class CancelFlag : public Cancellation {
 public:
  void Cancel() {
    m_cancelled = true;
    m_changed.NotifyAll();
  }
  bool IsCancelled() override { return m_cancelled; }
  Condition& Changed() override { return m_changed; }

 private:
  bool m_cancelled = false;
  Condition m_changed;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_AIO_CANCELLATION_H_
