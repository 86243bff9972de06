// The peer methods ledger.append, ledger.read, ledger.fence and ledger.drop:
// both sides of the messages between writers, readers and copies.

#ifndef BRONZECROSS_LEDGER_COPY_PEERS_H_
#define BRONZECROSS_LEDGER_COPY_PEERS_H_

#include <string>
#include <string_view>

#include "ledger/copy_store.h"
#include "membership/membership.h"
#include "peers/peer_server.h"

namespace bronzecross {

// Answers the methods from `store`, which must outlive `server`'s run; null if
// this VM holds no copies.
void RegisterCopyMethods(PeerServer& server, CopyStore* store);

// Each fails as the CopyStore function does, or with kPeerUnavailable.
class CopyPeers {
 public:
  CopyPeers(Membership& membership, Millis timeout)
      : m_membership(membership), m_timeout(timeout) {}

  Result<uint64_t> Append(std::string_view vm, const CopyAppend& append);
  Result<CopyState> Fence(std::string_view vm,
                          std::string_view ledger,
                          uint64_t epoch,
                          uint64_t segment);
  Result<CopyChunk> Read(std::string_view vm,
                         std::string_view ledger,
                         uint64_t segment,
                         uint64_t first,
                         size_t max_bytes);
  Result<CopyState> State(std::string_view vm,
                          std::string_view ledger,
                          uint64_t segment);
  // Best effort: a copy that misses this is removed by the repair.
  void Drop(std::string_view vm, std::string_view ledger);

 private:
  Membership& m_membership;
  const Millis m_timeout;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_COPY_PEERS_H_
