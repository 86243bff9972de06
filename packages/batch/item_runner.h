// Runs one batch item on one upstream.

#ifndef BRONZECROSS_BATCH_ITEM_RUNNER_H_
#define BRONZECROSS_BATCH_ITEM_RUNNER_H_

#include "batch/item_outcome.h"
#include "batch/taken_item.h"
#include "http/http_client.h"

namespace bronzecross {

struct ItemRunResult {
  ItemOutcome m_outcome;
  // Whether the upstream should get no batch items for a moment.
  bool m_upstream_failed = false;
};

// Blocks until the item ends or `cancel` is set.
ItemRunResult RunItem(HttpClient& http,
                      const std::string& upstream_url,
                      const TakenItem& item,
                      const CancelToken& cancel,
                      Millis timeout);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_ITEM_RUNNER_H_
