// The daemon's command line.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_COMMAND_LINE_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_COMMAND_LINE_H_

#include <string>

namespace bronzecross {

// Which part of the system the process is.
enum class ProgramRole {
  kDaemon,   // the daemon with its own API
  kGateway,  // one VM of the gateway
  kStorage,  // a VM with a disk, on which nothing is kept
};

struct CommandLine {
  ProgramRole m_role = ProgramRole::kDaemon;
  std::string m_settings_path;
  bool m_check = false;
  bool m_version = false;
};

// Parses the arguments. Prints usage or the fault and exits where the process
// cannot go on: with 0 after --help, with 2 on a fault.
CommandLine ParseCommandLine(int argc, const char** argv);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_COMMAND_LINE_H_
