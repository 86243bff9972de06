// Runs one measurement: bx_measure NAME [--seed N].

#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <string_view>

#include "measure/measurement.h"

namespace {

struct Measurement {
  std::string_view m_name;
  int (*m_run)(uint64_t seed);
};

constexpr Measurement kMeasurements[] = {
    {"overhead", bronzecross::MeasureOverhead},
};

}  // namespace

int main(int argc, const char** argv) {
  signal(SIGPIPE, SIG_IGN);
  uint64_t seed = 1;
  std::string_view name;
  for (int i = 1; i < argc; ++i) {
    const std::string_view argument = argv[i];
    if (argument == "--seed" && i + 1 < argc) {
      seed = std::strtoull(argv[++i], nullptr, 10);
    } else {
      name = argument;
    }
  }
  for (const Measurement& measurement : kMeasurements) {
    if (name.empty()) {
      std::printf("%s\n", measurement.m_name.data());
    } else if (measurement.m_name == name) {
      return measurement.m_run(seed);
    }
  }
  if (!name.empty()) {
    std::fprintf(stderr, "there is no measurement \"%s\"\n", name.data());
    return 2;
  }
  return 0;
}
