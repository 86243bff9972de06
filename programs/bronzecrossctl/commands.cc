#include "commands.h"

#include <cstdio>
#include <fstream>
#include <functional>
#include <optional>
#include <sstream>

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/log_trace.h"
#include "base/random.h"
#include "config/manifest.h"
#include "http/http_client.h"
#include "store/kv_client.h"

namespace bronzecross {
namespace {

using nlohmann::json;

constexpr Millis kStoreTimeout{3000};
constexpr Millis kStatusTimeout{1000};
constexpr size_t kMaxManifestBytes = 1'000'000;
constexpr int kMaxWithdrawAttempts = 5;

constexpr int kExitFailed = 1;
constexpr int kExitUsage = 2;
constexpr int kExitConflict = 3;

int PrintError(const Error& error) {
  std::fprintf(stderr, "%s\n", error.m_message.c_str());
  switch (error.m_code) {
    case ResultCode::kConflict:
      return kExitConflict;
    case ResultCode::kInvalidManifest:
    case ResultCode::kInvalidArgument:
      return kExitUsage;
    default:
      return kExitFailed;
  }
}

// The current manifest and the store revision of its key; 0 if none was
// published.
struct CurrentManifest {
  Manifest m_manifest;
  int64_t m_revision = 0;
};

Result<CurrentManifest> ReadCurrentManifest(KvClient& store,
                                            const CtlOptions& options) {
  const Result<std::optional<KvEntry>> entry =
      store.Get(options.m_prefix + "manifest");
  if (!entry) {
    return tl::unexpected<Error>(entry.error());
  }
  CurrentManifest current;
  if (*entry) {
    Result<Manifest> manifest = ParseManifestJson((*entry)->m_value);
    if (!manifest) {
      return tl::unexpected<Error>(manifest.error());
    }
    current.m_manifest = std::move(*manifest);
    current.m_revision = (*entry)->m_mod_revision;
  }
  return current;
}

// Writes `manifest` as the generation after `before`. Fails with kConflict if
// `before` is no longer the current manifest.
Result<int64_t> Publish(KvClient& store,
                        const CtlOptions& options,
                        Manifest manifest,
                        const CurrentManifest& before) {
  AssignNextGeneration(before.m_manifest, manifest);
  json document = ManifestToJson(manifest);
  // If the reply to the commit is lost, the key is read back; the random id
  // then distinguishes this write from another one with the same content.
  document["writer"] = RandomId();
  const std::string text = document.dump();
  if (text.size() > kMaxManifestBytes) {
    return Fail(ResultCode::kInvalidManifest,
                "the manifest is larger than 1,000,000 bytes");
  }
  const Result<int64_t> written =
      store.Commit({{options.m_prefix + "manifest", text, before.m_revision}});
  if (!written) {
    return written.error().m_code == ResultCode::kConflict
               ? Fail(ResultCode::kConflict,
                      "conflict: another manifest was published meanwhile; "
                      "run \"bronzecrossctl diff\" and publish again")
               : tl::unexpected<Error>(written.error());
  }
  return manifest.m_generation;
}

int RunCheck(const CtlOptions& options) {
  const Result<Manifest> manifest = LoadManifest(options.m_arguments[1]);
  if (!manifest) {
    return PrintError(manifest.error());
  }
  std::printf("%s: ok\n", options.m_arguments[1].c_str());
  return 0;
}

int RunPublish(const CtlOptions& options) {
  const Result<Manifest> manifest = LoadManifest(options.m_arguments[1]);
  if (!manifest) {
    return PrintError(manifest.error());
  }
  KvClient store({options.m_store}, kStoreTimeout);
  const Result<CurrentManifest> before = ReadCurrentManifest(store, options);
  if (!before) {
    return PrintError(before.error());
  }
  const int64_t generation = before->m_manifest.m_generation;
  if (options.m_expect_generation >= 0 &&
      options.m_expect_generation != generation) {
    std::fprintf(stderr,
                 "conflict: generation %lld is in force, not %ld; nothing was "
                 "published\n",
                 static_cast<long long>(generation),
                 options.m_expect_generation);
    return kExitConflict;
  }
  const Result<int64_t> published = Publish(store, options, *manifest, *before);
  if (!published) {
    return PrintError(published.error());
  }
  std::printf("published generation %lld\n",
              static_cast<long long>(*published));
  return 0;
}

int RunDiff(const CtlOptions& options) {
  Result<Manifest> manifest = LoadManifest(options.m_arguments[1]);
  if (!manifest) {
    return PrintError(manifest.error());
  }
  KvClient store({options.m_store}, kStoreTimeout);
  const Result<CurrentManifest> before = ReadCurrentManifest(store, options);
  if (!before) {
    return PrintError(before.error());
  }
  manifest->m_generation = before->m_manifest.m_generation;
  manifest->m_halves_generation = before->m_manifest.m_halves_generation;
  const json patch =
      json::diff(ManifestToJson(before->m_manifest), ManifestToJson(*manifest));
  for (const json& step : patch) {
    std::printf("%s %s %s\n", step.at("op").get<std::string>().c_str(),
                step.at("path").get<std::string>().c_str(),
                step.contains("value") ? step["value"].dump().c_str() : "");
  }
  std::printf("%zu differences from generation %lld\n", patch.size(),
              static_cast<long long>(before->m_manifest.m_generation));
  return 0;
}

int RunShow(const CtlOptions& options) {
  KvClient store({options.m_store}, kStoreTimeout);
  const Result<CurrentManifest> current = ReadCurrentManifest(store, options);
  if (!current) {
    return PrintError(current.error());
  }
  std::printf("%s\n", ManifestToJson(current->m_manifest).dump(2).c_str());
  return 0;
}

int RunHashKey(const CtlOptions& options) {
  std::printf("%s\n", Sha256Hex(options.m_arguments[1]).c_str());
  return 0;
}

int RunWithdrawKey(const CtlOptions& options) {
  KvClient store({options.m_store}, kStoreTimeout);
  for (int i = 0; i < kMaxWithdrawAttempts; ++i) {
    Result<CurrentManifest> before = ReadCurrentManifest(store, options);
    if (!before) {
      return PrintError(before.error());
    }
    Manifest manifest = before->m_manifest;
    KeySpec* found = nullptr;
    for (KeySpec& key : manifest.m_keys) {
      found = key.m_id == options.m_arguments[1] ? &key : found;
    }
    if (found == nullptr) {
      return PrintError(
          Fail(ResultCode::kInvalidArgument,
               "there is no key \"" + options.m_arguments[1] + "\"")
              .value());
    }
    found->m_withdrawn = true;
    const Result<int64_t> published =
        Publish(store, options, std::move(manifest), *before);
    if (published) {
      std::printf("withdrawn in generation %lld\n",
                  static_cast<long long>(*published));
      return 0;
    }
    // On a conflict another operator has published first; retry on top of that
    // manifest.
    if (published.error().m_code != ResultCode::kConflict) {
      return PrintError(published.error());
    }
  }
  return PrintError(
      Fail(ResultCode::kConflict, "other operators keep publishing").value());
}

int RunStatus(const CtlOptions& options) {
  KvClient store({options.m_store}, kStoreTimeout);
  const Result<CurrentManifest> current = ReadCurrentManifest(store, options);
  const Result<KvRange> vms = store.List(options.m_prefix + "vms/");
  if (!current || !vms) {
    return PrintError(current ? vms.error() : current.error());
  }
  std::printf("generation in the store: %lld\n",
              static_cast<long long>(current->m_manifest.m_generation));
  for (const KvEntry& entry : vms->m_entries) {
    const json record = json::parse(entry.m_value, nullptr, false);
    if (record.is_discarded() || !record.contains("admin")) {
      continue;
    }
    HttpCall call;
    call.m_url = "http://" + record["admin"].get<std::string>() + "/status";
    call.m_timeout = kStatusTimeout;
    const Result<HttpAnswer> answer = store.Http().Call(call);
    std::printf(
        "%s %s\n", record.value("id", "?").c_str(),
        answer ? answer->m_body.c_str() : answer.error().m_message.c_str());
  }
  return 0;
}

// Prints the lines of the given logs that contain the id.
int RunTrace(const CtlOptions& options) {
  std::vector<std::string> logs;
  for (size_t i = 2; i < options.m_arguments.size(); ++i) {
    std::ifstream file(options.m_arguments[i]);
    std::stringstream text;
    if (!file || !(text << file.rdbuf())) {
      std::fprintf(stderr, "%s: cannot be read\n",
                   options.m_arguments[i].c_str());
      return kExitFailed;
    }
    logs.push_back(text.str());
  }
  const std::vector<std::string> lines =
      TraceLogs(logs, options.m_arguments[1]);
  for (const std::string& line : lines) {
    std::printf("%s\n", line.c_str());
  }
  return lines.empty() ? kExitFailed : 0;
}

struct Command {
  const char* m_name;
  size_t m_min_arguments;
  int (*m_run)(const CtlOptions&);
  bool m_is_variadic = false;  // accepts more than m_min_arguments
};

constexpr Command kCommands[] = {
    {"check", 1, RunCheck},      {"diff", 1, RunDiff},
    {"publish", 1, RunPublish},  {"show", 0, RunShow},
    {"hash-key", 1, RunHashKey}, {"withdraw-key", 1, RunWithdrawKey},
    {"status", 0, RunStatus},    {"trace", 2, RunTrace, true},
};

}  // namespace

int RunCommand(const CtlOptions& options) {
  if (options.m_arguments.empty()) {
    std::fprintf(stderr, "bronzecrossctl: a command is needed; see --help\n");
    return kExitUsage;
  }
  for (const Command& command : kCommands) {
    if (options.m_arguments[0] != command.m_name) {
      continue;
    }
    const size_t given = options.m_arguments.size() - 1;
    if (given < command.m_min_arguments ||
        (given > command.m_min_arguments && !command.m_is_variadic)) {
      std::fprintf(stderr, "bronzecrossctl: %s takes %zu%s argument(s)\n",
                   command.m_name, command.m_min_arguments,
                   command.m_is_variadic ? " or more" : "");
      return kExitUsage;
    }
    return command.m_run(options);
  }
  std::fprintf(stderr, "bronzecrossctl: unknown command \"%s\"; see --help\n",
               options.m_arguments[0].c_str());
  return kExitUsage;
}

}  // namespace bronzecross
