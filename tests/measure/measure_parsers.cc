// Runs every parser over the kept corpus and seeded mutations of it. A crash
// ends the program, so that no line is printed.

#include <cstdio>

#include "hostile/corpus.h"
#include "hostile/parsers.h"
#include "measure/measurement.h"

namespace bronzecross {
namespace {

constexpr int kMutationsPerInput = 2000;

int MeasureParsers(uint64_t seed) {
  Random random(seed);
  int64_t inputs = 0;
  int64_t accepted = 0;
  for (const HostileParser& parser : HostileParsers()) {
    for (const std::string& input : LoadCorpus(parser.m_name)) {
      for (int i = 0; i <= kMutationsPerInput; ++i) {
        accepted +=
            parser.m_parse(i == 0 ? input : Mutate(input, random)) ? 1 : 0;
        ++inputs;
      }
    }
  }
  std::printf("measure parsers inputs=%lld accepted=%lld crashes=0\n",
              static_cast<long long>(inputs), static_cast<long long>(accepted));
  return 0;
}

const MeasurementRegistration kRegistration("parsers", MeasureParsers);

}  // namespace
}  // namespace bronzecross
