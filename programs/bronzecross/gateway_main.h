// Runs the process as a VM of the gateway.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_GATEWAY_MAIN_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_GATEWAY_MAIN_H_

#include "command_line.h"

namespace bronzecross {

// Returns the process's exit status.
int RunGateway(const CommandLine& line);

// Waits for a signal to stop. VMs with a disk run a process, but nothing of the
// system is kept on them.
int RunStorage(const CommandLine& line);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_GATEWAY_MAIN_H_
