// Parses the lines of a batch job's input and formats the lines of its output
// and error files.

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

// What an upstream must provide to run an item.
struct ItemRoute {
  // "m:<model>" or "s:<service>".
  std::string m_capability;
  bool m_idempotent = true;
};

// Finds the model or the declared route that serves `item`. Fails with
// kUnknownModel, kUnknownRoute or kMethodNotAllowed.
Result<ItemRoute> FindItemRoute(const BatchItem& item,
                                const ConfigSnapshot& config);

// Returns the output line of an item for which an upstream returned `response`.
std::string ResultLine(std::string_view custom_id, const HttpAnswer& response);

// Returns the output line of an item that ended without a response.
std::string ErrorLine(std::string_view custom_id, const Error& error);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_BATCH_ITEM_H_
