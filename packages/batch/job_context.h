// The components that the classes which run batch jobs share.

#ifndef BRONZECROSS_BATCH_JOB_CONTEXT_H_
#define BRONZECROSS_BATCH_JOB_CONTEXT_H_

#include <functional>
#include <string>

#include "batch/input_reader.h"
#include "batch/job_store.h"
#include "config/config_holder.h"
#include "ledger/ledger.h"
#include "membership/membership.h"

namespace bronzecross {

struct JobContext {
  JobStore& m_store;
  LedgerService& m_ledgers;
  ConfigHolder& m_config;
  Membership& m_membership;
  // Finds a file of a workspace; fails with kNotFound.
  std::function<Result<InputFile>(const std::string& workspace,
                                  const std::string& file_id)>
      m_find_input;
  // Calls a batch method of a VM, which may be this one.
  std::function<Result<nlohmann::json>(const std::string& vm,
                                       const std::string& method,
                                       const nlohmann::json& message,
                                       Millis timeout)>
      m_call;
};

// Returns "<VM>#<incarnation>", which identifies the dispatcher of one run of a
// VM's daemon.
std::string DispatcherId(std::string_view vm, int64_t incarnation);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_JOB_CONTEXT_H_
