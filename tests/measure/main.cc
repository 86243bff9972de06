// Runs one measurement: bx_measure NAME [--seed N]. Without a name it lists the
// names.

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <string>
#include <string_view>

#include "measure/measurement.h"

namespace bronzecross {

std::map<std::string, MeasureFunction>& Measurements() {
  static std::map<std::string, MeasureFunction> measurements;
  return measurements;
}

namespace {

int RunMeasurement(const std::string& name, uint64_t seed) {
  const auto found = Measurements().find(name);
  if (found != Measurements().end()) {
    return found->second(seed);
  }
  std::fprintf(stderr, "there is no measurement \"%s\"\n", name.c_str());
  return 2;
}

}  // namespace
}  // namespace bronzecross

int main(int argc, const char** argv) {
  signal(SIGPIPE, SIG_IGN);
  uint64_t seed = 1;
  std::string name;
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument == "--seed" && i + 1 < argc) {
      seed = std::strtoull(argv[++i], nullptr, 10);
    } else {
      name = argument;
    }
  }
  if (!name.empty()) {
    return bronzecross::RunMeasurement(name, seed);
  }
  for (const auto& [known, function] : bronzecross::Measurements()) {
    std::printf("%s\n", known.c_str());
  }
  return 0;
}
