// One line of a job's input and of its output.

#ifndef BRONZECROSS_BATCH_BATCH_ITEM_H_
#define BRONZECROSS_BATCH_BATCH_ITEM_H_

#include <string>
#include <string_view>

#include "base/error.h"
#include "config/config_snapshot.h"
#include "http/http_call.h"

namespace bronzecross {

struct BatchItem {
  std::string m_custom_id;  // unique within its job
  std::string m_method;
  std::string m_url;  // a path, for example /v1/chat/completions
  std::string m_body;
  std::string m_model;  // empty for plain services
};

// Parses a JSONL line {"custom_id","method","url","body"}. Fails with
// kMalformedBody.
Result<BatchItem> ParseBatchItem(std::string_view line);

// What an item needs of an upstream.
struct ItemRoute {
  // "m:<model>" or "s:<service>".
  std::string m_need;
  bool m_idempotent = true;
};

// Finds the model or the declared route that serves `item`. Fails with
// kUnknownModel, kUnknownRoute or kMethodNotAllowed.
Result<ItemRoute> FindItemRoute(const BatchItem& item,
                                const ConfigSnapshot& config);

// The output line for an item that an upstream answered.
std::string ResultLine(std::string_view custom_id, const HttpAnswer& answer);

// The output line for an item that ended without an answer.
std::string ErrorLine(std::string_view custom_id, const Error& error);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_BATCH_ITEM_H_
