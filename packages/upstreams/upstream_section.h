// The heartbeat section about upstreams: in-flight counts, learned service
// times, load reports, open circuit breakers, reservations, leaving upstreams
// and recently sent prompt prefixes.

#ifndef BRONZECROSS_UPSTREAMS_UPSTREAM_SECTION_H_
#define BRONZECROSS_UPSTREAMS_UPSTREAM_SECTION_H_

#include <map>
#include <span>
#include <string>

#include <nlohmann/json.hpp>

#include "upstreams/upstream_record.h"

namespace bronzecross {

using UpstreamRecords = std::map<std::string, UpstreamRecord, std::less<>>;

// Encodes the upstreams that are in use or changed within the last second, so
// that the size depends on the traffic and not on the number of upstreams.
nlohmann::json MakeUpstreamSection(const UpstreamRecords& records,
                                   std::span<const std::string> leaving,
                                   Millis now);

// Replaces the counts and flags that the VM `from` reported before, and adds
// its load reports and prefixes. Throws nlohmann::json::exception if the
// section is malformed.
void ApplyUpstreamSection(UpstreamRecords& records,
                          const std::string& from,
                          const nlohmann::json& section,
                          Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_UPSTREAM_SECTION_H_
