// Runs one batch item on one upstream.

#ifndef BRONZECROSS_BATCH_ITEM_RUNNER_H_
#define BRONZECROSS_BATCH_ITEM_RUNNER_H_

#include "batch/assigned_item.h"
#include "batch/item_outcome.h"
#include "http/http_client.h"

namespace bronzecross {

struct ItemRunResult {
  ItemOutcome m_outcome;
  // Whether the dispatcher should stop sending batch items to the upstream for
  // a short time.
  bool m_pause_upstream = false;
};

// Blocks until the item ends or `cancel` is set.
ItemRunResult RunItem(HttpClient& http,
                      const std::string& upstream_url,
                      const AssignedItem& item,
                      const CancelToken& cancel,
                      Millis timeout);

}  // namespace bronzecross

#endif  // BRONZECROSS_BATCH_ITEM_RUNNER_H_
