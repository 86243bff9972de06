// Files and batch jobs in the OpenAI form.
//
// The accepting VM runs the job.

#ifndef BRONZECROSS_BATCH_BATCH_SERVICE_H_
#define BRONZECROSS_BATCH_BATCH_SERVICE_H_

#include <atomic>
#include <memory>
#include <string>
#include <string_view>
#include <thread>
#include <vector>

#include <absl/synchronization/mutex.h>
#include <nlohmann/json.hpp>

#include "batch/batch_item.h"
#include "batch/file_service.h"
#include "config/config_holder.h"
#include "http/http_client.h"
#include "online/authenticator.h"
#include "store/kv_client.h"
#include "upstreams/upstream_registry.h"

namespace bronzecross {

class BatchService {
 public:
  BatchService(ConfigHolder& config,
               KvClient& store,
               FileService& files,
               UpstreamRegistry& upstreams,
               HttpClient& http,
               std::string prefix);
  ~BatchService();

  // What to do with the body of POST /v1/files.
  BodyPlan PlanUpload(HttpRequest& request) {
    return m_files.PlanUpload(request);
  }
  // Everything under /v1/files and /v1/batches. `body` is the outcome of
  // streaming the request's body.
  HttpReply Handle(const HttpRequest& request, const Status& body);
  void Stop();

 private:
  Result<nlohmann::json> Dispatch(const HttpRequest& request,
                                  const Caller& caller);
  Result<nlohmann::json> CreateBatch(const HttpRequest& request,
                                     const Caller& caller);
  Result<nlohmann::json> CancelBatch(std::string_view id, const Caller& caller);
  Result<KvEntry> Load(std::string_view kind,
                       std::string_view id,
                       const Caller& caller);
  Status Save(std::string_view kind,
              const nlohmann::json& record,
              int64_t expected_revision);
  void RunJob(const std::string& id, const Caller& caller);
  std::string RunItem(std::string_view line);

  ConfigHolder& m_config;
  KvClient& m_store;
  FileService& m_files;
  UpstreamRegistry& m_upstreams;
  HttpClient& m_http;
  const std::string m_prefix;
  std::atomic<bool> m_stopping = false;
  absl::Mutex m_mutex;
  std::vector<std::thread> m_runners ABSL_GUARDED_BY(m_mutex);
};

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_BATCH_SERVICE_H_
