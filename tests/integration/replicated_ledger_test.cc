// Ledgers whose copies lie on real daemons, through kills, pauses, damage, full
// disks and store faults.

#include <filesystem>
#include <fstream>
#include <iterator>
#include <thread>

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
      vm.Indexes().Load(id)->m_metadata.m_segments.back().m_copies.at(copy);
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
    return vm.Indexes().Load("led")->m_metadata.m_segments.size() > 1;
  }));
  CHECK(ReadAll(other, "led") == MakeRecords(0, count));

  // The closed segment's lost copy is made again on the fourth VM.
  CHECK(WaitFor([&] {
    const LedgerMetadata metadata = vm.Indexes().Load("led")->m_metadata;
    for (const std::string& holder : metadata.m_segments[0].m_copies) {
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

// Guards against damage that spreads or is served, and against a replaced disk
// that stays empty.
TEST_CASE("damaged and lost copies are fetched again") {
  Cluster cluster(Options(3));
  LedgerVm vm(cluster, "tester-0");
  Writer writer = *vm.Ledger().Create("led");
  REQUIRE(writer->Append(MakeRecords(0, 1000)).has_value());
  const auto segment_file = [&cluster](int holder) {
    return cluster.DataFolder(holder) + "/ledgers/led/0-0.seg";
  };
  const auto content = [&](int holder) {
    std::ifstream file(segment_file(holder), std::ios::binary);
    return std::string(std::istreambuf_iterator<char>(file), {});
  };
  REQUIRE(WaitFor([&] {
    return content(0).size() == content(1).size() &&
           content(1).size() == content(2).size();
  }));
  const std::string whole = content(0);
  REQUIRE(writer->Seal().has_value());

  cluster.Vm(0).Kill();
  {
    std::fstream file(segment_file(0),
                      std::ios::in | std::ios::out | std::ios::binary);
    file.seekp(static_cast<std::streamoff>(whole.size() / 2));
    file.write("damage", 6);
  }
  cluster.StartVm(0);
  CHECK(ReadAll(vm, "led") == MakeRecords(0, 1000));
  CHECK(WaitFor([&] { return content(0) == whole; }));

  cluster.Vm(1).Kill();
  fs::remove_all(cluster.DataFolder(1));
  cluster.StartVm(1);
  CHECK(WaitFor([&] { return content(1) == whole; }));
  cluster.Vm(2).Kill();
  fs::resize_file(segment_file(2), whole.size() - 5);
  cluster.StartVm(2);
  CHECK(WaitFor([&] { return content(2) == whole; }));
}

// Guards against a writer that stops with the store, and against store writes
// that are done twice or given up when only their answer was lost.
TEST_CASE("store outages and lost answers stop no open writer") {
  Cluster cluster(Options(4));
  LedgerVm vm(cluster, "tester-0");
  LedgerVm other(cluster, "tester-1");
  KvFaults faults;
  faults.m_lose_answers = 1;
  cluster.Kv().SetFaults(faults);
  Writer writer = *vm.Ledger().Create("led");
  REQUIRE(writer->Append(MakeRecords(0, 10)) == 0);
  Writer newer = *other.Ledger().TakeOver("led");
  CHECK(newer->Epoch() == writer->Epoch() + 1);
  REQUIRE(newer->Append(MakeRecords(10, 10)) == 10);

  faults = {};
  faults.m_outage = true;
  cluster.Kv().SetFaults(faults);
  REQUIRE(newer->Append(MakeRecords(20, 10)) == 20);
  CHECK(other.Ledger().Create("led-2").error().m_code ==
        ResultCode::kStoreUnavailable);
  CHECK(ReadAll(other, "led") == MakeRecords(0, 30));
  cluster.Kv().SetFaults({});
  const int killed = HolderOf(other, "led", 0);
  cluster.Kv().SetFaults(faults);
  cluster.Vm(killed).Kill();
  REQUIRE(newer->Append(MakeRecords(30, 10)) == 30);
  cluster.Kv().SetFaults({});
  CHECK(WaitFor([&] {
    const LedgerMetadata metadata = other.Indexes().Load("led")->m_metadata;
    return metadata.m_segments.back().m_epoch == 2 &&
           metadata.m_segments.back().m_first >= 30;
  }));
  faults = {};
  faults.m_lose_answers = 1;
  cluster.Kv().SetFaults(faults);
  REQUIRE(newer->Append(MakeRecords(40, 10)) == 40);
  REQUIRE(newer->Seal().has_value());
  CHECK(ReadAll(vm, "led") == MakeRecords(0, 50));
}

// Guards against a writer that stays with too few copies: the move to other
// copies fails with the store, and the next one begins at a later record.
TEST_CASE("a move that fails with the store is made later") {
  Cluster cluster(Options(4));
  LedgerVm vm(cluster, "tester-0");
  Writer writer = *vm.Ledger().Create("led");
  REQUIRE(writer->Append(MakeRecords(0, 10)) == 0);
  const int killed = HolderOf(vm, "led", 0);
  KvFaults faults;
  faults.m_outage = true;
  cluster.Kv().SetFaults(faults);
  cluster.Vm(killed).Kill();
  REQUIRE(writer->Append(MakeRecords(10, 10)) == 10);
  // Moves are tried once a second.
  SleepFor(Millis(2'500));
  REQUIRE(writer->Append(MakeRecords(20, 10)) == 20);
  cluster.Kv().SetFaults({});
  CHECK(WaitFor([&] {
    return vm.Indexes().Load("led")->m_metadata.m_segments.back().m_first >= 20;
  }));
  REQUIRE(writer->Append(MakeRecords(30, 10)) == 30);
  CHECK(ReadAll(vm, "led") == MakeRecords(0, 40));
}

// Guards against two writers on the two sides of a partition.
TEST_CASE("a writer parted from most copies acknowledges nothing") {
  ClusterOptions options = Options(3);
  options.m_proxies = true;
  Cluster cluster(options);
  // The first tester sees the copies through vm-0's proxies.
  for (int vm = 0; vm < 3; ++vm) {
    cluster.VmList().ShowPort("tester-0", Cluster::VmId(vm),
                              cluster.PeerProxy(0, vm).Address().m_port);
  }
  LedgerVm parted(cluster, "tester-0");
  LedgerVm other(cluster, "tester-1");
  Writer old = *parted.Ledger().Create("led");
  REQUIRE(old->Append(MakeRecords(0, 10)) == 0);
  ProxyFaults drop;
  drop.m_drop_forward = true;
  for (const int vm : {0, 1}) {
    cluster.PeerProxy(0, vm).SetFaults(drop);
  }
  Result<uint64_t> outcome = 0;
  std::thread appending([&] { outcome = old->Append(MakeRecords(99, 1)); });
  Writer newer = *other.Ledger().TakeOver("led");
  REQUIRE(newer->Append(MakeRecords(20, 5)).has_value());
  appending.join();
  CHECK_FALSE(outcome.has_value());
  for (const int vm : {0, 1}) {
    cluster.PeerProxy(0, vm).SetFaults({});
    // The proxy lost bytes inside the connections, which TCP would not.
    cluster.PeerProxy(0, vm).CutAll();
  }
  CHECK_FALSE(old->Append(MakeRecords(98, 1)).has_value());
  const Result<Records> records = ReadAll(other, "led");
  REQUIRE(records.has_value());
  CHECK(Records(records->begin(), records->begin() + 10) == MakeRecords(0, 10));
  CHECK(Records(records->end() - 5, records->end()) == MakeRecords(20, 5));
  Result<Records> seen = Fail(ResultCode::kNotFound, "not read yet");
  CHECK(WaitFor([&] {
    seen = ReadAll(parted, "led");
    return seen.has_value();
  }));
  CHECK(*records == *seen);
}

}  // namespace bronzecross
