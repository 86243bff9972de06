// Server and client side of the peer methods ledger.append, ledger.read,
// ledger.fence and ledger.drop, by which writers and readers access copies.

#ifndef BRONZECROSS_LEDGER_COPY_CLIENT_H_
#define BRONZECROSS_LEDGER_COPY_CLIENT_H_

#include <string>
#include <string_view>

#include "ledger/copy_store.h"
#include "membership/membership.h"
#include "peers/peer_server.h"

namespace bronzecross {

// Registers handlers that access `store`, which must stay alive until `server`
// has stopped. Pass a null `store` if this VM stores no copies.
void RegisterCopyMethods(PeerServer& server, CopyStore* store);

// Calls the CopyStore function of the same name on another VM. Fails as that
// function does, or with kPeerUnavailable.
class CopyClient {
 public:
  CopyClient(Membership& membership, Millis timeout)
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
  // Best effort: LedgerRepair later removes a copy that this call did not
  // reach.
  void Drop(std::string_view vm, std::string_view ledger);

 private:
  Membership& m_membership;
  const Millis m_timeout;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LEDGER_COPY_CLIENT_H_
