#include "base/hash.h"

#include <array>

#include <absl/strings/escaping.h>
#include <absl/strings/str_format.h>
#include <openssl/evp.h>
#include <xxhash.h>

namespace bronzecross {

uint64_t Hash64(std::string_view bytes, uint64_t seed) {
  return XXH3_64bits_withSeed(bytes.data(), bytes.size(), seed);
}

std::string Sha256Hex(std::string_view bytes) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest;
  unsigned int length = 0;
  EVP_Digest(bytes.data(), bytes.size(), digest.data(), &length, EVP_sha256(),
             nullptr);
  return absl::BytesToHexString(
      absl::string_view(reinterpret_cast<const char*>(digest.data()), length));
}

std::string Hex64(uint64_t value) {
  return absl::StrFormat("%016x", value);
}

}  // namespace bronzecross
