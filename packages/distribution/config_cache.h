// On-disk copy of the last manifest, used to start when neither the store nor a
// peer is reachable.

#ifndef BRONZECROSS_DISTRIBUTION_CONFIG_CACHE_H_
#define BRONZECROSS_DISTRIBUTION_CONFIG_CACHE_H_

#include <string>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace bronzecross {

// Replaces the file atomically and syncs it to disk before returning. Fails
// with kDiskFull.
Status WriteConfigCache(const std::string& path,
                        const nlohmann::json& document);

// Fails with kNotFound if the file does not exist and with kCorrupt if its hash
// does not match.
Result<nlohmann::json> ReadConfigCache(const std::string& path);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISTRIBUTION_CONFIG_CACHE_H_
