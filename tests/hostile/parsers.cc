#include "hostile/parsers.h"

#include <string>

#include <nlohmann/json.hpp>

#include "base/base64.h"
#include "base/net_address.h"
#include "batch/batch_item.h"
#include "config/config_snapshot.h"
#include "config/manifest.h"
#include "config/settings.h"
#include "ledger/ledger_record.h"
#include "membership/vm_list.h"
#include "online/completion_progress.h"
#include "online/sse_splitter.h"
#include "peers/message.h"
#include "upstreams/load_report.h"

namespace bronzecross {
namespace {

bool ParseAddress(std::string_view input) {
  return ParseNetAddress(input).has_value();
}

bool ParseBase64(std::string_view input) {
  return Base64Decode(input).has_value();
}

bool ParseItem(std::string_view input) {
  return ParseBatchItem(input).has_value();
}

bool ParseLoad(std::string_view input) {
  return ParseLoadReport(input).has_value();
}

// An accepted manifest must also survive indexing and the way to JSON.
bool ParseManifestFile(std::string_view input) {
  Result<Manifest> manifest = ParseManifestToml(input, "input");
  if (!manifest) {
    return false;
  }
  const std::string text = ManifestToJson(*manifest).dump();
  const ConfigSnapshot snapshot(std::move(*manifest));
  snapshot.FindRoute("/a/b");
  return ParseManifestJson(text).has_value();
}

bool ParseManifestValue(std::string_view input) {
  Result<Manifest> manifest = ParseManifestJson(input);
  if (!manifest) {
    return false;
  }
  const ConfigSnapshot snapshot(std::move(*manifest));
  snapshot.FindKey("x");
  return true;
}

bool ParseMessage(std::string_view input) {
  return DecodeMessage(input).has_value();
}

bool ParseRecords(std::string_view input) {
  bool any = false;
  while (ConsumeRecord(input)) {
    any = true;
  }
  return any;
}

bool ParseSettingsFile(std::string_view input) {
  return ParseSettings(input, "input").has_value();
}

bool ParseStream(std::string_view input) {
  CompletionProgress progress;
  SseSplitter splitter;
  if (!splitter.Add(input)) {
    return false;
  }
  while (std::optional<std::string> event = splitter.Next()) {
    if (!ConsumeEvent(progress, std::move(*event))) {
      return false;
    }
  }
  return progress.m_done;
}

bool ParseVms(std::string_view input) {
  return ParseVmList(input).has_value();
}

constexpr HostileParser kParsers[] = {
    {"base64", ParseBase64},
    {"batch_item", ParseItem},
    {"ledger_record", ParseRecords},
    {"load_report", ParseLoad},
    {"manifest_json", ParseManifestValue},
    {"manifest_toml", ParseManifestFile},
    {"message", ParseMessage},
    {"net_address", ParseAddress},
    {"settings", ParseSettingsFile},
    {"stream", ParseStream},
    {"vm_list", ParseVms},
};

}  // namespace

std::span<const HostileParser> HostileParsers() {
  return kParsers;
}

}  // namespace bronzecross
