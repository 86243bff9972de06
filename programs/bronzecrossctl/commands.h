// The operators' commands. Each prints its result and returns the exit status:
// 0 done, 1 failed, 2 wrong usage or a document with faults, 3 conflict.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSSCTL_COMMANDS_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSSCTL_COMMANDS_H_

#include "ctl_options.h"

namespace bronzecross {

int RunCommand(const CtlOptions& options);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSSCTL_COMMANDS_H_
