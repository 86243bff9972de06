// How a caller of the platform writes its requests: names of fields, paths of
// calls and the body of a batch job.

#ifndef BRONZECROSS_STANDINS_PLATFORM_CALLER_H_
#define BRONZECROSS_STANDINS_PLATFORM_CALLER_H_

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "http/http_message.h"

namespace bronzecross {

// What the load balancer asks.
inline constexpr std::string_view kPlatformReadinessPath = "/api/readiness";

// The fields of a request. An empty `id` or `key` is left out.
std::vector<HttpHeader> PlatformCallerFields(std::string_view id,
                                             std::string_view key,
                                             int64_t deadline_ms);
// Asks the answer to a read of results to wait for new ones.
HttpHeader PlatformPollWait(Millis wait);

// The body of a submission of `items` items of the path /batch/stream, named
// JOB-item-N.
std::string PlatformJobBody(std::string_view job, int items);
// The paths of calls about a job.
std::string PlatformJobPath(std::string_view job);
std::string PlatformResultsPath(std::string_view job);
std::string PlatformItemPath(std::string_view job, int item);

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_PLATFORM_CALLER_H_
