// All parsers that face callers, VMs, the store, disks or operators, each as a
// function over bytes.

#ifndef BRONZECROSS_TESTS_HOSTILE_PARSERS_H_
#define BRONZECROSS_TESTS_HOSTILE_PARSERS_H_

#include <span>
#include <string_view>

namespace bronzecross {

struct HostileParser {
  // Also the name of its corpus folder.
  std::string_view m_name;
  // Returns whether the parser accepted the input.
  bool (*m_parse)(std::string_view input);
};

std::span<const HostileParser> HostileParsers();

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HOSTILE_PARSERS_H_
