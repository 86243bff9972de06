// Client of the engines' order interface: POST /orders sends an order with a
// fencing token, GET /orders reads which model is loaded.

#ifndef BRONZECROSS_ORDERS_ENGINE_ORDERS_H_
#define BRONZECROSS_ORDERS_ENGINE_ORDERS_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "http/http_client.h"
#include "orders/order_record.h"
#include "orders/plan_loads.h"

namespace bronzecross {

// Identifies the VM that sends an order. Engines reject orders whose fencing
// token is older than the newest one that they have seen.
struct OrderIssuer {
  std::string m_name;  // "half/vm"
  int64_t m_fencing_token = 0;
};

// Orders the engine at `url` to load a model version. Returns once the engine
// has started to load; fails with kFenced if it has seen a newer token.
Status SendLoadOrder(HttpClient& http,
                     std::string_view url,
                     const OrderIssuer& issuer,
                     const ModelLoad& load,
                     Millis timeout);

// Makes the engine reject all older tokens from now on.
Status SendFenceOrder(HttpClient& http,
                      std::string_view url,
                      const OrderIssuer& issuer,
                      Millis timeout);

// Reads which model the engine has loaded. m_reachable is false if it returns
// no valid response.
ReplicaState ReadReplica(HttpClient& http,
                         std::string_view upstream,
                         std::string_view url,
                         Millis timeout);

}  // namespace bronzecross

#endif  // BRONZECROSS_ORDERS_ENGINE_ORDERS_H_
