#include "gateway/probe_server.h"

#include "http1/http_connection.h"

namespace bronzecross {
namespace {

// Maximum time for each read and write of a readiness check or metrics request.
constexpr Millis kProbeTimeout{5'000};

// Maximum size of the header section of a probe.
constexpr size_t kMaxHeaderBytes = 16'384;

// Probes share one group of the memory budget.
constexpr std::string_view kProbeGroup = "\nprobes";

// Reads one request. Returns false if the connection should be closed.
Task<bool> ReadProbe(HttpConnection& client) {
  const bool has_head =
      co_await client.ReadHead(MonotonicNow() + kProbeTimeout);
  if (!has_head) {
    co_return false;
  }
  co_return co_await client.ReadBody(MonotonicNow() + kProbeTimeout, 0);
}

}  // namespace

Task<> ServeProbes(Node& node,
                   ConnectionTable& table,
                   std::unique_ptr<TcpStream> stream,
                   ProbeHandler handler) {
  BudgetLease lease(node.m_budget);
  lease.JoinGroup(kProbeGroup);
  HttpConnection client(std::move(stream), MessageKind::kRequest);
  ConnectionTable::Entry entry(table, client.Stream());
  ReadBounds bounds;
  bounds.m_lease = &lease;
  bounds.m_incomplete_head_bytes = kMaxHeaderBytes;
  client.SetBounds(bounds);
  entry.SetClosable(true);
  for (;;) {
    const bool has_request = co_await ReadProbe(client);
    if (!has_request) {
      node.CountRefusal(client.Fault());
      co_return;
    }
    const bool keep = client.Parser().MayKeepAlive();
    client.Queue(handler().Serialize(keep));
    client.CountHeld(0);
    const bool sent = co_await client.FlushAll(MonotonicNow() + kProbeTimeout);
    if (!sent || !keep) {
      co_return;
    }
    client.StartNextMessage();
  }
}

}  // namespace bronzecross
