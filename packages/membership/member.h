// State known about one VM.

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
  // Increases with each run of the VM's daemon; 0 until the first message from
  // it.
  int64_t m_incarnation = 0;
  // Send time of the latest heartbeat of the local VM that it replied to; zero:
  // never.
  Millis m_last_seen;
  // Latest time at which it is known to have been alive: m_last_seen, or a
  // later time reported in another VM's digest. Never later than the
  // reply itself.
  Millis m_last_known_alive;
  // Whether it stores bulk data on a disk.
  bool m_has_data_dir = false;
  // Whether it announced its shutdown.
  bool m_draining = false;
  // Whether the platform's VM list reports it as leaving.
  bool m_leaving = false;
};

// Returns whether no new work may be assigned to `member`.
inline bool IsLeaving(const Member& member) {
  return member.m_draining || member.m_leaving;
}

}  // namespace bronzecross

#endif  // BRONZECROSS_MEMBERSHIP_MEMBER_H_
