// Sends this VM's gossip messages to the other VMs and handles theirs.

#ifndef BRONZECROSS_GATEWAY_GOSSIP_EXCHANGE_H_
#define BRONZECROSS_GATEWAY_GOSSIP_EXCHANGE_H_

#include <memory>
#include <string_view>

#include "aio/datagram_socket.h"
#include "gateway/node.h"

namespace bronzecross {

// Whether the gossip of all VMs of a fleet arrives often enough to show which
// of them are alive.
bool IsGossipFrequent(int fleet_size);

class GossipExchange {
 public:
  // `node` must outlive this object.
  explicit GossipExchange(Node& node) : m_node(node) {}

  // Opens the UDP socket. Fails if the address can't be bound.
  Status Open();
  // Runs until the process ends.
  Task<> Run();
  // Sends the next message as early as the minimum interval (20 ms) allows
  // instead of at the next regular time.
  void SendSoon();
  // The same, and sends a brief message to the VMs of other groups, too.
  void SendToAllSoon();

 private:
  void OnDatagram(std::string_view bytes);
  GossipMessage MakeGossip(Millis now);
  // Sends full messages to the VMs of this VM group and, less often, brief ones
  // to all other VMs.
  void SendGossip(Millis now);

  Node& m_node;
  std::unique_ptr<DatagramSocket> m_socket;
  uint64_t m_sequence = 0;
  Millis m_next_brief;
  bool m_send_soon = false;
  Condition m_send_soon_changed;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_GOSSIP_EXCHANGE_H_
