// Hash functions: xxHash for placement, checksums and fingerprints, SHA-256 for
// API keys.

#ifndef BRONZECROSS_BASE_HASH_H_
#define BRONZECROSS_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzecross {

// Returns the 64-bit XXH3 hash of `bytes`.
uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

// Returns the SHA-256 digest of `bytes` in lower-case hexadecimal.
std::string Sha256Hex(std::string_view bytes);

// Returns `value` as 16 lower-case hexadecimal digits.
std::string Hex64(uint64_t value);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_HASH_H_
