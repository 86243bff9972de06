// Batch jobs in the OpenAI form. A job is acknowledged once its record is in
// the store; its input and results are ledgers, run by one owner and sent by
// the dispatchers of the upstreams.

#ifndef BRONZECROSS_BATCH_BATCH_SERVICE_H_
#define BRONZECROSS_BATCH_BATCH_SERVICE_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "batch/dispatcher.h"
#include "batch/file_service.h"
#include "batch/job_owner.h"
#include "batch/job_store.h"
#include "batch/open_work.h"
#include "batch/output_files.h"
#include "batch/upstream_access.h"
#include "config/batch_options.h"
#include "config/config_holder.h"
#include "http/http_client.h"
#include "ledger/ledger.h"
#include "membership/membership.h"
#include "online/authenticator.h"
#include "peers/peer_server.h"
#include "store/kv_client.h"

namespace bronzecross {

// What the service uses of the rest of the daemon.
struct BatchParts {
  ConfigHolder& m_config;
  KvClient& m_store;
  std::string m_prefix;
  Membership& m_membership;
  PeerServer& m_peer_server;
  LedgerService& m_ledgers;
  FileService& m_files;
  HttpClient& m_http;
  UpstreamAccess m_upstreams;
};

class BatchService {
 public:
  // Registers its methods at the peer server, which must not run yet.
  BatchService(BatchParts parts, BatchOptions options);
  ~BatchService();

  void Start();
  // Returns what runs here; open jobs go on at other VMs.
  void Stop();

  // What to do with the body of POST /v1/files.
  BodyPlan PlanUpload(HttpRequest& request) {
    return m_files.PlanUpload(request);
  }
  // Everything under /v1/files and /v1/batches. `body` is the outcome of
  // streaming the request's body.
  HttpReply Handle(const HttpRequest& request, const Status& body);

  // Called when an online request goes to an upstream whose slots are taken.
  void TellOnlineAtBound(std::string_view upstream) {
    m_dispatcher.TellOnlineAtBound(upstream);
  }

 private:
  using Method = Result<nlohmann::json> (
      BatchService::*)(const nlohmann::json& message, Millis deadline);

  void Register(std::string_view name, Method method);
  Result<nlohmann::json> CallVm(const std::string& vm,
                                const std::string& method,
                                const nlohmann::json& message,
                                Millis timeout);
  Result<nlohmann::json> OnTake(const nlohmann::json& message, Millis deadline);
  Result<nlohmann::json> OnDone(const nlohmann::json& message, Millis deadline);
  Result<nlohmann::json> OnHeld(const nlohmann::json& message, Millis deadline);
  Result<nlohmann::json> OnAdopt(const nlohmann::json& message,
                                 Millis deadline);
  Result<nlohmann::json> OnCancel(const nlohmann::json& message,
                                  Millis deadline);
  Result<nlohmann::json> OnYield(const nlohmann::json& message,
                                 Millis deadline);

  Result<nlohmann::json> Dispatch(const HttpRequest& request,
                                  const Caller& caller);
  Result<nlohmann::json> Create(const HttpRequest& request,
                                const Caller& caller);
  Result<nlohmann::json> Cancel(const std::string& id, const Caller& caller);
  Result<nlohmann::json> List(const HttpRequest& request, const Caller& caller);
  // A path under /v1/files/<output or error file>.
  HttpReply GetOutputFile(const HttpRequest& request,
                          const OutputFileId& file,
                          const Caller& caller);
  Result<StoredJob> LoadOwn(const std::string& id, const Caller& caller);
  // The batch object with what its owner announces.
  nlohmann::json Show(JobRecord job) const;

  ConfigHolder& m_config;
  Membership& m_membership;
  PeerServer& m_peer_server;
  LedgerService& m_ledgers;
  FileService& m_files;
  JobStore m_store;
  OpenWork m_open_work;
  JobContext m_context;
  std::map<std::string, Method, std::less<>> m_methods;
  JobOwner m_owner;
  Dispatcher m_dispatcher;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_BATCH_SERVICE_H_
