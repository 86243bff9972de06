#include "harness/ledger_vm.h"

#include <cstdlib>

namespace bronzecross {
namespace {

MembershipOptions MakeOptions(Cluster& cluster, const std::string& id) {
  MembershipOptions options;
  options.m_self.m_id = id;
  options.m_self.m_availability_zone = "zone-a";
  options.m_self.m_incarnation = WallNow().count();
  options.m_vm_list_url = cluster.VmList().UrlFor(id);
  options.m_vm_list_poll = Millis(200);
  return options;
}

}  // namespace

LedgerVm::LedgerVm(Cluster& cluster,
                   const std::string& id,
                   const std::string& store_url)
    : m_store({store_url.empty() ? cluster.Kv().Url() : store_url},
              Millis(1000)),
      m_indexes(m_store, LedgerOptions().m_prefix),
      m_server({"127.0.0.1", 0}),
      m_membership(MakeOptions(cluster, id), m_server, m_client),
      m_ledger(LedgerOptions(), m_store, m_membership, m_server) {
  if (!m_server.Start()) {
    std::abort();
  }
  m_membership.Start();
  const size_t wanted = static_cast<size_t>(cluster.VmCount()) + 1;
  if (!WaitFor([&] { return m_membership.Live().size() == wanted; })) {
    std::abort();
  }
}

LedgerVm::~LedgerVm() {
  m_ledger.Stop();
  m_membership.Stop();
  m_server.Stop();
}

}  // namespace bronzecross
