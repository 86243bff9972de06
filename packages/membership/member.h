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
  // Differs between two runs of a VM's daemon and rises from run to run; 0
  // until heard from.
  int64_t m_incarnation = 0;
  // When it last answered a heartbeat of this VM, by the time the heartbeat was
  // sent; zero: never.
  Millis m_last_heard;
  // The same, or a later time at which it answered another VM, as that VM's
  // digest told. Never later than the answer itself.
  Millis m_last_evidence;
  // Whether it keeps bulk data on a disk.
  bool m_has_data_dir = false;
  // Whether it announced its shutdown.
  bool m_draining = false;
  // Whether the platform's list is about to take it away.
  bool m_leaving = false;
};

// Whether `member` must get nothing new.
inline bool IsLeaving(const Member& member) {
  return member.m_draining || member.m_leaving;
}

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_MEMBER_H_
