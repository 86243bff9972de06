#include "hostile/corpus.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

namespace bronzecross {
namespace {

constexpr std::string_view kExtremes[] = {"-1",
                                          "0",
                                          "18446744073709551616",
                                          "1e999",
                                          "NaN",
                                          "\"\"",
                                          "null",
                                          "[]",
                                          "{}",
                                          "\xff\xfe",
                                          "9223372036854775807",
                                          "%n%s"};

size_t Position(std::string_view text, Random& random) {
  return static_cast<size_t>(RandomBelow(random, text.size() + 1));
}

void MutateOnce(std::string& text, Random& random) {
  switch (RandomBelow(random, 7)) {
    case 0:
      if (!text.empty()) {
        text[RandomBelow(random, text.size())] =
            static_cast<char>(RandomBelow(random, 256));
      }
      break;
    case 1:
      text.resize(Position(text, random));
      break;
    case 2: {
      const size_t start = Position(text, random);
      text.insert(Position(text, random), text.substr(start, 64));
      break;
    }
    case 3:
      text.insert(Position(text, random),
                  kExtremes[RandomBelow(random, std::size(kExtremes))]);
      break;
    case 4: {
      const size_t digit =
          text.find_first_of("0123456789", Position(text, random));
      if (digit != std::string::npos) {
        text.replace(digit, 1,
                     kExtremes[RandomBelow(random, std::size(kExtremes))]);
      }
      break;
    }
    case 5:
      text.insert(Position(text, random),
                  std::string(RandomBelow(random, 2000), '['));
      break;
    default:
      text.erase(Position(text, random), RandomBelow(random, 32));
      break;
  }
}

}  // namespace

std::vector<std::string> LoadCorpus(std::string_view name) {
  std::vector<std::filesystem::path> paths;
  const std::filesystem::path folder =
      std::filesystem::path(BRONZECROSS_CORPUS) / name;
  std::error_code missing;
  for (const std::filesystem::directory_entry& entry :
       std::filesystem::directory_iterator(folder, missing)) {
    paths.push_back(entry.path());
  }
  if (paths.empty()) {
    std::fprintf(stderr, "the corpus %s is empty\n", folder.c_str());
    std::abort();
  }
  std::sort(paths.begin(), paths.end());
  std::vector<std::string> inputs;
  for (const std::filesystem::path& path : paths) {
    std::ifstream file(path, std::ios::binary);
    std::stringstream text;
    text << file.rdbuf();
    inputs.push_back(text.str());
  }
  return inputs;
}

std::string Mutate(std::string_view input, Random& random) {
  std::string text(input);
  const uint64_t steps = 1 + RandomBelow(random, 4);
  for (uint64_t i = 0; i < steps; ++i) {
    MutateOnce(text, random);
  }
  return text;
}

}  // namespace bronzecross
