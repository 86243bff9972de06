// Waits for the signal that requests a graceful shutdown.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_DRAIN_SIGNAL_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_DRAIN_SIGNAL_H_

namespace bronzecross {

// Blocks SIGTERM, SIGINT and SIGHUP for this thread and those it starts, and
// ignores SIGPIPE. Call first in main(): until then each of the signals ends
// the process. One that arrives later stays pending until it is read.
void BlockSignals();

// Returns when SIGTERM or SIGINT arrives.
void WaitForDrainSignal();

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_DRAIN_SIGNAL_H_
