// Sends this VM's news to the others and takes in theirs.

#ifndef BRONZECROSS_GATEWAY_NEWS_EXCHANGE_H_
#define BRONZECROSS_GATEWAY_NEWS_EXCHANGE_H_

#include <memory>
#include <string_view>

#include "aio/datagram_socket.h"
#include "gateway/node.h"

namespace bronzecross {

class NewsExchange {
 public:
  // `node` must outlive this object.
  explicit NewsExchange(Node& node) : m_node(node) {}

  Status Open();
  // Runs until the process ends.
  Task<> Run();
  // Sends news within a few milliseconds instead of at the next regular time.
  void SendSoon();

 private:
  void OnDatagram(std::string_view bytes);
  GossipMessage MakeNews(Millis now);
  // Whole news to the VMs of this cell, at times brief ones to all others.
  void SendNews(Millis now);

  Node& m_node;
  std::unique_ptr<DatagramSocket> m_socket;
  uint64_t m_sequence = 0;
  Millis m_next_brief;
  bool m_soon = false;
  Condition m_soon_changed;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_GATEWAY_NEWS_EXCHANGE_H_
