// The operators' and callers' command line tool.

#include <cstdio>

#include "commands.h"
#include "ctl_options.h"

int main(int argc, const char** argv) {
  const bronzecross::CtlOptions options =
      bronzecross::ParseCtlOptions(argc, argv);
  if (options.m_version) {
    std::puts("bronzecrossctl " BRONZECROSS_VERSION);
    return 0;
  }
  return bronzecross::RunCommand(options);
}
