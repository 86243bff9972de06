// The engines' order interface: POST /orders with a fencing token, GET /orders
// for what is loaded.

#ifndef BRONZECROSS_ORDERS_ENGINE_ORDERS_H_
#define BRONZECROSS_ORDERS_ENGINE_ORDERS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "http/http_client.h"
#include "orders/order_record.h"
#include "orders/plan_loads.h"

namespace bronzecross {

// Who orders, and with which right.
struct OrderIssuer {
  std::string m_name;  // "half/vm"
  int64_t m_fencing_token = 0;
};

// Orders the engine at `url` to load a model version; it answers once it has
// begun. Fails with kFenced if the engine knows a newer token.
Status SendLoadOrder(HttpClient& http,
                     std::string_view url,
                     const OrderIssuer& issuer,
                     const ModelLoad& load,
                     Millis timeout);

// Makes the engine refuse all older tokens from now on.
Status SendFenceOrder(HttpClient& http,
                      std::string_view url,
                      const OrderIssuer& issuer,
                      Millis timeout);

// Reads what the engine has loaded; not reachable if it does not answer.
ReplicaState ReadReplica(HttpClient& http,
                         std::string_view upstream,
                         std::string_view url,
                         Millis timeout);

}  // namespace bronzecross

#endif  // BRONZECROSS_ORDERS_ENGINE_ORDERS_H_
