// A disk that stands still under a real daemon process.

#include <doctest/doctest.h>

#include <sys/stat.h>

#include <filesystem>

#include "harness/cluster.h"

namespace bronzecross {
namespace {

// Guards against a VM that isn't ready since it can't write the manifest to its
// disk: opening the file for writing never returns.
TEST_CASE("a VM whose disk stands still gets ready") {
  ClusterOptions options;
  options.m_vms = 3;
  Cluster cluster(options);
  const std::filesystem::path folder(cluster.DataFolder(0));
  std::filesystem::path cache;
  CHECK(WaitFor([&] {
    for (const std::filesystem::directory_entry& entry :
         std::filesystem::directory_iterator(folder)) {
      if (entry.path().extension() == ".json") {
        cache = entry.path();
      }
    }
    return !cache.empty();
  }));
  cluster.Vm(0).Kill();
  std::filesystem::remove(cache);
  // A pipe without a reader.
  const std::string written = cache.string() + ".new";
  REQUIRE(mkfifo(written.c_str(), 0600) == 0);
  cluster.StartVm(0);
  CHECK(cluster.WaitReady(0));
  cluster.Vm(0).Kill();
}

}  // namespace
}  // namespace bronzecross
