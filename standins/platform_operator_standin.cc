#include "standins/platform_operator_standin.h"

#include "base/text.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr std::string_view kConfigKey = "op/config";
constexpr std::string_view kEvacuatePrefix = "op/evacuate/";

// Position of the batch route.
constexpr size_t kBatchRoute = 4;

json MakeRoute(const std::string& name,
               const std::string& prefix,
               const std::string& kind,
               bool resumable) {
  return {{"name", name},    {"host", "gateway.test"}, {"prefix", prefix},
          {"kind", kind},    {"timeoutMs", 8'000},     {"targetLatencyMs", 600},
          {"priority", 0},   {"service", "engine"},    {"maxAttempts", 3},
          {"public", false}, {"sticky", false},        {"resumable", resumable},
          {"gapAimMs", 500}};
}

json MakeConfig(double rate_per_s, double burst) {
  json config;
  config["version"] = 1;
  config["routes"] = {
      MakeRoute("plain", "/plain/", "idempotent", false),
      MakeRoute("once", "/once/", "non_idempotent", false),
      MakeRoute("stream", "/stream/", "streaming", false),
      MakeRoute("resume", "/resume/", "streaming", true),
  };
  json batch = MakeRoute("batch", "/batch/", "bulk", false);
  batch["dueMs"] = 20'000;
  batch["retentionS"] = 60;
  batch["cap"] = 1'000'000;
  config["routes"].push_back(batch);
  config["services"] = {{{"name", "engine"},
                         {"healthPath", "/health"},
                         {"maxConns", 100},
                         {"engine", json::object()}}};
  config["limits"] = {{"maxHeaderBytes", 16'384},
                      {"maxBodyBytes", 1'000'000},
                      {"headerTimeoutMs", 3'000},
                      {"idleTimeoutMs", 15'000}};
  config["tenants"] = {{{"name", "ws-a"},
                        {"apiKeys", {"key-a"}},
                        {"ratePerS", rate_per_s},
                        {"burst", burst}},
                       {{"name", "ws-b"}, {"apiKeys", {"key-b"}}}};
  return config;
}

}  // namespace

PlatformOperatorStandin::PlatformOperatorStandin(PlatformStoreStandin& store,
                                                 double rate_per_s,
                                                 double burst)
    : m_store(store), m_config(MakeConfig(rate_per_s, burst)) {
  Publish(1);
}

void PlatformOperatorStandin::PublishKey(int version, const std::string& key) {
  m_config["tenants"][0]["apiKeys"] = {key};
  Publish(version);
}

void PlatformOperatorStandin::PublishWaitingCap(int version, int64_t tokens) {
  m_config["routes"][kBatchRoute]["cap"] = tokens;
  Publish(version);
}

void PlatformOperatorStandin::PublishMemory(int version, int64_t tokens) {
  m_config["services"][0]["engine"]["kvCapacity"] = tokens;
  Publish(version);
}

void PlatformOperatorStandin::PublishGrown(int version,
                                           int routes,
                                           int workspaces) {
  json grown = MakeConfig(0, 0);
  for (int i = 0; i < routes; ++i) {
    grown["routes"].push_back(MakeRoute(
        Concat("grown-", i), Concat("/grown/", i, "/"), "idempotent", false));
  }
  for (int i = 0; i < workspaces; ++i) {
    grown["tenants"].push_back({{"name", Concat("grown-", i)},
                                {"apiKeys", {Concat("grown-key-", i)}}});
  }
  m_config = std::move(grown);
  Publish(version);
}

void PlatformOperatorStandin::PublishCold(int version,
                                          double cold_s,
                                          double cold_per_s) {
  m_config["services"][0]["coldS"] = cold_s;
  m_config["services"][0]["coldPerS"] = cold_per_s;
  Publish(version);
}

void PlatformOperatorStandin::PublishRegions(
    int version,
    const std::vector<std::string>& regions) {
  m_config["tenants"][0]["allowedRegions"] = regions;
  Publish(version);
}

size_t PlatformOperatorStandin::FindRoute(const std::string& name) const {
  const json& routes = m_config["routes"];
  size_t index = 0;
  while (index < routes.size() && routes[index]["name"] != name) {
    ++index;
  }
  return index;
}

void PlatformOperatorStandin::PublishRoute(int version,
                                           const std::string& name,
                                           const json& changes) {
  const size_t index = FindRoute(name);
  json& routes = m_config["routes"];
  if (index == routes.size()) {
    routes.push_back(MakeRoute(name, "/", "idempotent", false));
  }
  routes[index].update(changes);
  Publish(version);
}

void PlatformOperatorStandin::PublishWithoutRoute(int version,
                                                  const std::string& name) {
  m_config["routes"].erase(FindRoute(name));
  Publish(version);
}

void PlatformOperatorStandin::PublishBodyLimit(int version, int64_t bytes) {
  m_config["limits"]["maxBodyBytes"] = bytes;
  Publish(version);
}

void PlatformOperatorStandin::PublishWorkspaces(int version,
                                                const json& workspaces) {
  m_config["tenants"] = workspaces;
  Publish(version);
}

void PlatformOperatorStandin::Evacuate(const std::string& zone) {
  m_store.Put(Concat(kEvacuatePrefix, zone), "{}");
}

void PlatformOperatorStandin::WithdrawEvacuation(const std::string& zone) {
  m_store.Remove(Concat(kEvacuatePrefix, zone));
}

void PlatformOperatorStandin::PublishUnreadable() {
  m_store.Put(std::string(kConfigKey), R"({"version":"x"})");
}

void PlatformOperatorStandin::Publish(int version) {
  m_config["version"] = version;
  m_store.Put(std::string(kConfigKey), m_config.dump());
}

}  // namespace bronzecross
