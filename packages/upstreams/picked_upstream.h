// The requirements of a request on its upstream, and the upstream picked for
// it.

#ifndef BRONZECROSS_UPSTREAMS_PICKED_UPSTREAM_H_
#define BRONZECROSS_UPSTREAMS_PICKED_UPSTREAM_H_

#include <functional>
#include <memory>
#include <span>
#include <string>
#include <string_view>

#include "config/manifest.h"
#include "upstreams/in_flight.h"

namespace bronzecross {

// Selects the upstreams that can serve a request: engines with the model, or,
// if m_service is set, instances of a plain service.
struct UpstreamRequirements {
  std::string_view m_model;
  std::string_view m_service;
  // Names of upstreams that already failed this request.
  std::span<const std::string> m_excluded_upstreams = {};
  Priority m_priority = Priority::kOnline;
  // Hashes of the prompt's prefixes, see prompt_prefix.h.
  std::span<const uint64_t> m_prefixes = {};
};

// An upstream picked for one request, which counts as in flight there until
// this is destroyed.
struct PickedUpstream {
  std::string m_name;
  std::string m_url;
  InFlight m_in_flight;
  UpstreamKind m_kind = UpstreamKind::kEngine;
  int64_t m_slots = 1;
  // The upstream's load in requests when this one was picked, without it.
  double m_load = 0;
  Millis m_picked_at;
  // Number of requests that this VM had sent to the upstream, including this.
  int64_t m_send_number = 0;
  // Whether no other request was known to run there when it was picked.
  bool m_alone = false;
  // Ends the upstream's reservation when it is released; null unless picked
  // by PickExclusive().
  std::shared_ptr<void> m_reservation = nullptr;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_PICKED_UPSTREAM_H_
