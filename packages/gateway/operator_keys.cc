#include "gateway/operator_keys.h"

#include <vector>

#include "aio/wait.h"
#include "base/log.h"
#include "platform/config_document.h"
#include "platform/keys.h"

namespace bronzecross {
namespace {

// Interval between attempts to report an emptied disk.
constexpr Millis kReportInterval{1'000};

}  // namespace

PrefixHandlers OperatorKeys::Handlers() {
  PrefixHandlers handlers;
  handlers.m_on_snapshot = [this](std::span<const KvItem> items) {
    OnSnapshot(items);
  };
  handlers.m_on_event = [this](const KvEvent& event) {
    if (event.m_removed) {
      OnRemoval(event.m_item.m_key);
    } else {
      OnItem(event.m_item);
    }
  };
  return handlers;
}

void OperatorKeys::OnSnapshot(std::span<const KvItem> items) {
  // The evacuations are applied before a configuration in the same snapshot, as
  // a VM that starts serves requests once it has one.
  std::vector<std::string_view> evacuated;
  for (const KvItem& item : items) {
    const std::string_view zone = platform::ZoneToEvacuate(item.m_key);
    if (!zone.empty()) {
      evacuated.push_back(zone);
      m_node.m_upstreams.BeginEvacuation(zone);
    }
  }
  m_node.m_upstreams.EndUnlistedEvacuations(evacuated);
  for (const KvItem& item : items) {
    OnItem(item);
  }
  m_node.DispatchAll();
}

void OperatorKeys::OnItem(const KvItem& item) {
  const std::string_view vm = platform::VmToRetire(item.m_key);
  if (!vm.empty() && m_disks_to_empty.insert(std::string(vm)).second) {
    Spawn(ReportDiskEmptied(std::string(vm)));
    return;
  }
  const std::string_view zone = platform::ZoneToEvacuate(item.m_key);
  if (!zone.empty()) {
    m_node.m_upstreams.BeginEvacuation(zone);
    m_node.DispatchAll();
    return;
  }
  if (item.m_key != platform::kConfigKey) {
    return;
  }
  Result<FleetConfigPtr> config = platform::DecodeConfig(item.m_value);
  if (!config) {
    LogError(Severity::kError, LogPart::kConfig,
             "The configuration can't be read; the current one stays in use.",
             config.error());
    return;
  }
  m_node.InstallConfig(*std::move(config), item.m_revision);
}

void OperatorKeys::OnRemoval(std::string_view key) {
  m_disks_to_empty.erase(std::string(platform::VmToRetire(key)));
  const std::string_view zone = platform::ZoneToEvacuate(key);
  if (!zone.empty()) {
    m_node.m_upstreams.EndEvacuation(zone);
    m_node.DispatchAll();
  }
}

Task<> OperatorKeys::ReportDiskEmptied(std::string vm) {
  // The system stores no data on disk, so every disk is already empty.
  const std::string key = platform::RetirementStatusKey(vm);
  while (m_disks_to_empty.contains(vm)) {
    if (m_node.m_cluster.FirstVmFor(key, MonotonicNow()) ==
        m_node.m_cluster.Self().m_id) {
      KvTransaction transaction;
      transaction.m_puts.push_back(
          {key, platform::RetirementCompletedValue(), 0});
      const Result<KvOutcome> outcome =
          co_await m_node.m_kv.Transact(std::move(transaction));
      if (outcome) {
        Log(Severity::kInfo, LogPart::kMain, "Reported a disk as emptied.",
            {{"vm", vm}});
        co_return;
      }
    }
    // The VM that is responsible for the report may fail, so every other VM
    // keeps checking whether it has become responsible.
    co_await Sleep(kReportInterval);
  }
}

}  // namespace bronzecross
