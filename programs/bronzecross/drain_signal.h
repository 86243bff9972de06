// Waits for the signal that requests a graceful shutdown.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_DRAIN_SIGNAL_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_DRAIN_SIGNAL_H_

namespace bronzecross {

// Blocks SIGTERM and SIGINT for this thread and those it starts, and ignores
// SIGPIPE. Call before any thread is started.
void BlockDrainSignals();

// Returns when SIGTERM or SIGINT arrives.
void WaitForDrainSignal();

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_DRAIN_SIGNAL_H_
