// Entry points of the gateway and storage roles.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_GATEWAY_MAIN_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_GATEWAY_MAIN_H_

#include "command_line.h"

namespace bronzecross {

// Runs the gateway until it is stopped. Returns the exit status of the process.
int RunGateway(const CommandLine& line);

// Waits for a stop signal and returns the exit status of the process. VMs with
// a disk run this process, but the system stores nothing on them.
int RunStorage(const CommandLine& line);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_GATEWAY_MAIN_H_
