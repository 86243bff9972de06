// Commands of bronzecrossctl. Each prints its result and returns the exit
// status: 0 success, 1 failure, 2 wrong usage or invalid document, 3 conflict.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSSCTL_COMMANDS_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSSCTL_COMMANDS_H_

#include "ctl_options.h"

namespace bronzecross {

// Runs the command that the first argument names.
int RunCommand(const CtlOptions& options);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSSCTL_COMMANDS_H_
