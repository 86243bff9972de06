// The command line of bronzecrossctl.

#ifndef BRONZECROSS_PROGRAMS_BRONZECROSSCTL_CTL_OPTIONS_H_
#define BRONZECROSS_PROGRAMS_BRONZECROSSCTL_CTL_OPTIONS_H_

#include <string>
#include <vector>

namespace bronzecross {

struct CtlOptions {
  std::string m_store = "http://127.0.0.1:2379";
  std::string m_prefix = "/bronzecross/";
  // Generation that must be current for publish to succeed; -1 accepts any.
  long m_expect_generation = -1;
  bool m_version = false;
  std::vector<std::string> m_arguments;
};

// Parses the arguments. Exits with 0 after --help and with 2 on an error.
CtlOptions ParseCtlOptions(int argc, const char** argv);

}  // namespace bronzecross

#endif  // BRONZECROSS_PROGRAMS_BRONZECROSSCTL_CTL_OPTIONS_H_
