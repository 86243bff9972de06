// What is known of one VM.

#ifndef BRONZECROSS_MEMBERSHIP_MEMBER_H_
#define BRONZECROSS_MEMBERSHIP_MEMBER_H_

#include <cstdint>
#include <string>

#include "base/clock.h"
#include "base/net_address.h"

namespace bronzecross {

struct Member {
  std::string m_id;
  NetAddress m_peer_address;
  std::string m_availability_zone;
  // Differs between two runs of a VM's daemon; 0 until heard from.
  int64_t m_incarnation = 0;
  // When it last answered a heartbeat, by the time the heartbeat was sent;
  // zero: never.
  Millis m_last_heard;
  // Whether it keeps bulk data on a disk.
  bool m_has_data_dir = false;
  bool m_draining = false;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_MEMBER_H_
