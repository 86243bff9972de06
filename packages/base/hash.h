// Hashes: xxHash for placement, checksums and fingerprints; SHA-256 for keys.

#ifndef BRONZECROSS_BASE_HASH_H_
#define BRONZECROSS_BASE_HASH_H_

#include <cstdint>
#include <string>
#include <string_view>

namespace bronzecross {

uint64_t Hash64(std::string_view bytes, uint64_t seed = 0);

// Lower-case hexadecimal SHA-256 of `bytes`.
std::string Sha256Hex(std::string_view bytes);

std::string Hex64(uint64_t value);

}  // namespace bronzecross

#endif  // BRONZECROSS_BASE_HASH_H_
