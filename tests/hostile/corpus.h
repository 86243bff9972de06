// The kept corpus of hostile inputs and the mutations made of it.

#ifndef BRONZECROSS_TESTS_HOSTILE_CORPUS_H_
#define BRONZECROSS_TESTS_HOSTILE_CORPUS_H_

#include <string>
#include <string_view>
#include <vector>

#include "base/random.h"

namespace bronzecross {

// The files in the corpus folder `name`, in name order. Aborts if there are
// none, so that a missing corpus can't pass as a clean run.
std::vector<std::string> LoadCorpus(std::string_view name);

// A damaged variant of `input`: bytes flipped, cut, repeated, inserted, numbers
// replaced by extreme ones, or nesting added.
std::string Mutate(std::string_view input, Random& random);

}  // namespace bronzecross

#endif  // BRONZECROSS_TESTS_HOSTILE_CORPUS_H_
