// What a request needs of an upstream, and the upstream picked for it.

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

// What a request needs of an upstream: a model, or a plain service.
struct UpstreamNeed {
  std::string_view m_model;
  std::string_view m_service;
  // Names of upstreams that already failed this request.
  std::span<const std::string> m_avoid = {};
  Priority m_priority = Priority::kOnline;
  // Hashes of the prompt's prefixes, see prompt_prefix.h.
  std::span<const uint64_t> m_prefixes = {};
};

// An upstream picked for one request.
struct PickedUpstream {
  std::string m_name;
  std::string m_url;
  InFlight m_in_flight;
  UpstreamKind m_kind = UpstreamKind::kEngine;
  int64_t m_slots = 1;
  // Requests in flight before this one, and when it was picked.
  double m_load = 0;
  Millis m_picked_at;
  // This VM's number of this send on the upstream, and whether no other
  // request was known to run there.
  int64_t m_send_number = 0;
  bool m_alone = false;
  // Ends the reservation of a request that must run alone.
  std::shared_ptr<void> m_reservation = nullptr;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_UPSTREAMS_PICKED_UPSTREAM_H_
