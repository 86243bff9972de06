// The command line of the bronzecross program.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSS_COMMAND_LINE_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSS_COMMAND_LINE_H_

#include <string>

namespace bronzecross {

// Role that the process runs as.
enum class ProgramRole {
  kDaemon,   // daemon that serves its own API
  kGateway,  // gateway process of one VM
  kStorage,  // idle process on a VM with a disk; stores nothing
};

struct CommandLine {
  ProgramRole m_role = ProgramRole::kDaemon;
  std::string m_settings_path;
  bool m_check = false;
  bool m_version = false;
};

// Parses the arguments. After --help it prints the usage and exits with 0; on
// an error it prints the error and exits with 2.
CommandLine ParseCommandLine(int argc, const char** argv);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSS_COMMAND_LINE_H_
