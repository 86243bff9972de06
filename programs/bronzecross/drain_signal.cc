#include "drain_signal.h"

#include <pthread.h>
#include <signal.h>

namespace bronzecross {
namespace {

sigset_t DrainSignals() {
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  return signals;
}

}  // namespace

void BlockSignals() {
  sigset_t signals = DrainSignals();
  sigaddset(&signals, SIGHUP);
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  signal(SIGPIPE, SIG_IGN);
}

void WaitForDrainSignal() {
  const sigset_t signals = DrainSignals();
  int received = 0;
  sigwait(&signals, &received);
}

}  // namespace bronzecross
