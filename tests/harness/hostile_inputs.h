// What no ordinary caller sends over HTTP/1.1.

#ifndef BRONZECROSS_TESTS_HARNESS_HOSTILE_INPUTS_H_
#define BRONZECROSS_TESTS_HARNESS_HOSTILE_INPUTS_H_

#include <string>
#include <vector>

#include "harness/hostile_crowd.h"

namespace bronzecross {

// Paths that the server under test knows.
struct HostilePaths {
  std::string m_post;   // of requests with a body
  std::string m_first;  // of a request that is followed by others, ...
  std::string m_later;  // ... and of those
};

std::vector<HostileInput> HostileInputs(const HostilePaths& paths);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HARNESS_HOSTILE_INPUTS_H_
