// The part of heartbeats that tells of upstreams: in-flight counts, learned
// service times, load reports, open breakers, reservations, leaving upstreams
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

// Tells only of upstreams with news within the last second, so that its size
// follows the work and not the fleet.
nlohmann::json MakeUpstreamSection(const UpstreamRecords& records,
                                   std::span<const std::string> leaving,
                                   Millis now);

// Takes what the VM `from` told. Throws nlohmann::json::exception on a damaged
// section.
void TakeUpstreamSection(UpstreamRecords& records,
                         const std::string& from,
                         const nlohmann::json& section,
                         Millis now);

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_UPSTREAM_SECTION_H_
