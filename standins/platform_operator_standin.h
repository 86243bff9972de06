// Stand-in for the platform's operator: one configuration with a route of each
// kind, one engine service and two workspaces, written to the store.

#ifndef BRONZECROSS_STANDINS_PLATFORM_OPERATOR_STANDIN_H_
#define BRONZECROSS_STANDINS_PLATFORM_OPERATOR_STANDIN_H_

#include <cstdint>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "standins/platform_store_standin.h"

namespace bronzecross {

class PlatformOperatorStandin {
 public:
  // The limit is that of the first workspace; 0: none. Its key is "key-a", that
  // of the other one "key-b".
  PlatformOperatorStandin(PlatformStoreStandin& store,
                          double rate_per_s,
                          double burst);

  // Each writes a whole configuration of the given version.
  void PublishKey(int version, const std::string& key);
  void PublishWaitingCap(int version, int64_t tokens);
  // Sets the memory of the engines, in tokens.
  void PublishMemory(int version, int64_t tokens);
  // Sets the cold time and the cold rate of the engines.
  void PublishCold(int version, double cold_s, double cold_per_s);
  // Limits the first workspace to `regions`.
  void PublishRegions(int version, const std::vector<std::string>& regions);
  // Sets the fields of `changes` on the route `name`. A route with another name
  // than the present ones is added, with the other fields of "plain".
  void PublishRoute(int version,
                    const std::string& name,
                    const nlohmann::json& changes);
  void PublishWithoutRoute(int version, const std::string& name);
  // Sets the maximum size of a caller's body.
  void PublishBodyLimit(int version, int64_t bytes);
  // Replaces the workspaces; with an empty list no request needs a key.
  void PublishWorkspaces(int version, const nlohmann::json& workspaces);
  // Evacuates an availability zone, and withdraws that.
  void Evacuate(const std::string& zone);
  void WithdrawEvacuation(const std::string& zone);
  // Writes a document that is no configuration.
  void PublishUnreadable();
  // Adds idempotent routes "/grown/I/" for I below `routes`, and workspaces
  // with a key each.
  void PublishGrown(int version, int routes, int workspaces);
  // The configuration as last published.
  std::string Document() const { return m_config.dump(); }

 private:
  void Publish(int version);
  // Returns the position of a route in m_config, or the number of routes.
  size_t FindRoute(const std::string& name) const;

  PlatformStoreStandin& m_store;
  nlohmann::json m_config;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_STANDINS_PLATFORM_OPERATOR_STANDIN_H_
