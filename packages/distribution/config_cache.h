// The last manifest, kept in the data folder for a start without store and
// peers.

#ifndef BRONZECROSS_DISTRIBUTION_CONFIG_CACHE_H_
#define BRONZECROSS_DISTRIBUTION_CONFIG_CACHE_H_

#include <string>

#include <nlohmann/json.hpp>

#include "base/error.h"

namespace bronzecross {

// Replaces the file as a whole, on disk when it returns. Fails with kDiskFull.
Status WriteConfigCache(const std::string& path,
                        const nlohmann::json& document);

// Fails with kNotFound if there is no file and with kCorrupt if its hash does
// not match.
Result<nlohmann::json> ReadConfigCache(const std::string& path);

}  // namespace bronzecross

#endif  // BRONZECROSS_DISTRIBUTION_CONFIG_CACHE_H_
