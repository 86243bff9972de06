// Ledgers whose copies lie on real daemons, through kills, pauses, damage, full
// disks and store faults.

#include <filesystem>
#include <fstream>

#include <doctest/doctest.h>

#include "harness/ledger_vm.h"

namespace bronzecross {
namespace {

namespace fs = std::filesystem;

using Records = std::vector<std::string>;
using Writer = std::unique_ptr<LedgerWriter>;

ClusterOptions Options(int vms, std::string settings = "") {
  ClusterOptions options;
  options.m_vms = vms;
  options.m_data_vms = vms;
  options.m_engines.clear();
  options.m_services = 0;
  options.m_settings =
      "[ledger]\nrepair_interval_ms = 200\nrepair_after_ms = 1000\n" + settings;
  return options;
}

Records MakeRecords(int first, int count, size_t size = 200) {
  Records records;
  for (int i = first; i < first + count; ++i) {
    records.push_back(std::to_string(i) + std::string(size, '.'));
  }
  return records;
}

Result<Records> ReadAll(LedgerVm& vm, std::string_view id) {
  Records records;
  const Status read =
      vm.Ledger().Read(id, 0, [&records](const LedgerRecord& record) {
        records.push_back(record.m_payload);
        return true;
      });
  return read ? Result<Records>(records) : tl::unexpected<Error>(read.error());
}

// The cluster's VM number of the `copy`-th copy of the last segment.
int HolderOf(LedgerVm& vm, std::string_view id, size_t copy) {
  const std::string name =
      vm.Indexes().Load(id)->m_index.m_segments.back().m_copies.at(copy);
  return name.back() - '0';
}

ResultCode CodeOf(const Result<uint64_t>& result) {
  return result ? ResultCode::kOk : result.error().m_code;
}

}  // namespace

TEST_CASE("a ledger is written, taken over, sealed and read elsewhere") {
  Cluster cluster(Options(3));
  LedgerVm first(cluster, "tester-0");
  LedgerVm second(cluster, "tester-1");
  Writer writer = *first.Ledger().Create("led");
  CHECK(first.Ledger().Create("led").error().m_code == ResultCode::kConflict);
  REQUIRE(writer->Append(MakeRecords(0, 10)) == 0);
  REQUIRE(writer->Append(MakeRecords(10, 10)) == 10);
  CHECK(ReadAll(second, "led") == MakeRecords(0, 20));

  Writer newer = *second.Ledger().TakeOver("led");
  CHECK(newer->Epoch() > writer->Epoch());
  CHECK(newer->NextSequence() == 20);
  CHECK(CodeOf(writer->Append(MakeRecords(99, 1))) == ResultCode::kFenced);
  REQUIRE(newer->Append(MakeRecords(20, 5)) == 20);
  REQUIRE(newer->Seal().has_value());
  CHECK_FALSE(newer->Append(MakeRecords(99, 1)).has_value());
  CHECK(ReadAll(first, "led") == MakeRecords(0, 25));
  CHECK_FALSE(first.Ledger().TakeOver("led").has_value());
  CHECK(first.Ledger().Delete("led").has_value());
  CHECK(ReadAll(second, "led").error().m_code == ResultCode::kNotFound);
}

// Guards against acknowledged records that only the lost VMs held.
TEST_CASE("killed and paused copies lose nothing that was acknowledged") {
  Cluster cluster(Options(4));
  LedgerVm vm(cluster, "tester-0");
  LedgerVm other(cluster, "tester-1");
  Writer writer = *vm.Ledger().Create("led");
  int count = 0;
  const auto append = [&](int batches) {
    for (int i = 0; i < batches; ++i, count += 10) {
      const Result<uint64_t> first = writer->Append(MakeRecords(count, 10));
      REQUIRE_MESSAGE(first.has_value(),
                      (first ? "" : first.error().m_message));
      REQUIRE(*first == static_cast<uint64_t>(count));
    }
  };
  append(20);
  const int killed = HolderOf(vm, "led", 0);
  cluster.Vm(killed).Kill();
  append(20);
  CHECK(WaitFor([&] {
    append(1);
    return vm.Indexes().Load("led")->m_index.m_segments.size() > 1;
  }));
  CHECK(ReadAll(other, "led") == MakeRecords(0, count));

  // The closed segment's lost copy is made again on the fourth VM.
  CHECK(WaitFor([&] {
    for (const std::string& holder :
         vm.Indexes().Load("led")->m_index.m_segments[0].m_copies) {
      if (holder == Cluster::VmId(killed)) {
        return false;
      }
    }
    return true;
  }));
  cluster.StartVm(killed);
  const int paused = HolderOf(vm, "led", 1);
  cluster.Vm(paused).Pause();
  append(10);
  Writer newer = *other.Ledger().TakeOver("led");
  CHECK(newer->NextSequence() == static_cast<uint64_t>(count));
  cluster.Vm(paused).Resume();
  CHECK(CodeOf(writer->Append(MakeRecords(99, 1))) == ResultCode::kFenced);
  writer = std::move(newer);
  append(10);
  CHECK(ReadAll(vm, "led") == MakeRecords(0, count));
}

}  // namespace bronzecross
