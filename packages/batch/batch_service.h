// Serves the OpenAI-compatible batch and file API. A job is acknowledged once
// its record is in the store. Its input and its results are ledgers. One VM
// owns and runs the job; the dispatchers of the upstreams send its items.

#ifndef BRONZECROSS_BATCH_BATCH_SERVICE_H_
#define BRONZECROSS_BATCH_BATCH_SERVICE_H_

#include <string>
#include <string_view>

#include <nlohmann/json.hpp>

#include "batch/announced_jobs.h"
#include "batch/dispatcher.h"
#include "batch/file_service.h"
#include "batch/job_owner.h"
#include "batch/job_store.h"
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

// The components of the daemon that the service uses.
struct BatchDependencies {
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
  // Registers the batch methods at the peer server, which must not be running
  // yet.
  BatchService(BatchDependencies dependencies, BatchOptions options);
  ~BatchService();

  void Start();
  // Returns the items that this VM holds to the owners of their jobs and stops
  // running the jobs that it owns; other VMs take those over.
  void Stop();

  // Decides how the body of POST /v1/files is received.
  BodyPlan PlanUpload(HttpRequest& request) {
    return m_files.PlanUpload(request);
  }
  // Handles all requests under /v1/files and /v1/batches. `body` is the result
  // of receiving a streamed request body.
  HttpReply Handle(const HttpRequest& request, const Status& body);

  // Must be called when an online request is sent to an upstream whose slots
  // are all in use. Makes the upstream's dispatcher preempt batch items; does
  // not block.
  void ReportOnlineAtCapacity(std::string_view upstream) {
    m_dispatcher.ReportOnlineAtCapacity(upstream);
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
  Result<nlohmann::json> OnPreempt(const nlohmann::json& message,
                                   Millis deadline);

  Result<nlohmann::json> HandleBatches(const HttpRequest& request,
                                       const Caller& caller);
  Result<nlohmann::json> Create(const HttpRequest& request,
                                const Caller& caller);
  Result<nlohmann::json> Cancel(const std::string& id, const Caller& caller);
  Result<nlohmann::json> List(const HttpRequest& request, const Caller& caller);
  // Handles GET /v1/files/<id> and GET /v1/files/<id>/content for the output or
  // error file of a job.
  HttpReply GetOutputFile(const HttpRequest& request,
                          const OutputFileId& file,
                          const Caller& caller);
  Result<StoredJob> LoadJob(const std::string& id, const Caller& caller);
  // Returns the batch object, with the progress that the job's owner announces.
  nlohmann::json MakeBatchObject(JobRecord job) const;

  ConfigHolder& m_config;
  Membership& m_membership;
  PeerServer& m_peer_server;
  LedgerService& m_ledgers;
  FileService& m_files;
  JobStore m_store;
  AnnouncedJobs m_announced_jobs;
  JobContext m_context;
  std::map<std::string, Method, std::less<>> m_methods;
  JobOwner m_owner;
  Dispatcher m_dispatcher;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_BATCH_SERVICE_H_
