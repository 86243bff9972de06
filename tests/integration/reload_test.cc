// SIGHUP at any moment of a process's life, with real processes.

#include <fcntl.h>
#include <signal.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "base/text.h"
#include "harness/cluster.h"
#include "harness/gateway_cluster.h"
#include "harness/silent_server.h"

namespace bronzecross {
namespace {

constexpr Millis kQueryTimeout{10'000};
constexpr Millis kSettleTime{1'500};

// Makes the allocator of the processes that are started from now on overwrite
// freed memory, so that reading it never goes unnoticed.
void OverwriteFreedMemory() {
  setenv("GLIBC_TUNABLES",
         "glibc.malloc.tcache_count=0:glibc.malloc.mxfast=0:"
         "glibc.malloc.perturb=165",
         1);
}

void CheckServes(GatewayCluster& cluster, const std::string& id) {
  GatewayRequest request;
  request.m_target = "/plain/x";
  request.m_id = id;
  CHECK(cluster.Call(request).m_status == 200);
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Starts the VM and returns once it waits for its settings, of which nothing
// has been read yet. Returns the descriptor to write them to.
int LaunchWaitingForSettings(GatewayCluster& cluster) {
  const std::string path = cluster.SettingsPath(0);
  std::filesystem::remove(path);
  REQUIRE(mkfifo(path.c_str(), 0600) == 0);
  cluster.LaunchVm(0);
  const int fd = open(path.c_str(), O_WRONLY | O_CLOEXEC);
  REQUIRE(fd >= 0);
  return fd;
}

// The process reads the settings again after SIGHUP, then from a file.
void GiveSettings(GatewayCluster& cluster, int fd, const std::string& text) {
  REQUIRE(cluster.Vm(0).IsRunning());
  const std::string path = cluster.SettingsPath(0);
  std::filesystem::remove(path);
  std::ofstream(path) << text;
  REQUIRE(write(fd, text.data(), text.size()) ==
          static_cast<ssize_t>(text.size()));
  close(fd);
}

// Guards against a gateway that reads the list of seeds after SIGHUP has
// replaced it (review case 11).
TEST_CASE("the list of seeds may change while a seed is being queried") {
  OverwriteFreedMemory();
  SilentServer silent;
  GatewayClusterOptions options;
  options.m_vms = 1;
  options.m_seeds = {silent.Address().ToString(), "127.0.0.1:9"};
  GatewayCluster cluster(options);
  for (const size_t count : {3, 1, 4, 2, 5, 0, 6}) {
    const bool is_queried = silent.WaitForConnection(kQueryTimeout);
    REQUIRE(cluster.Vm(0).IsRunning());
    REQUIRE(is_queried);
    std::vector<std::string> seeds(count, "127.0.0.1:9");
    if (!seeds.empty()) {
      seeds.front() = silent.Address().ToString();
    }
    cluster.SetSeeds(0, seeds);
    cluster.ReloadVm(0);
    if (seeds.empty()) {
      SleepFor(kSettleTime);
      cluster.SetSeeds(0, {silent.Address().ToString()});
      cluster.ReloadVm(0);
    }
  }
  SleepFor(kSettleTime);
  REQUIRE(cluster.Vm(0).IsRunning());
  CheckServes(cluster, "after");
}

// Guards against a gateway that forgets its settings when the file is broken
// for a moment.
TEST_CASE("a gateway goes on with its settings if the file can't be read") {
  GatewayClusterOptions options;
  options.m_vms = 1;
  GatewayCluster cluster(options);
  for (const char* text : {"", "[vm", "[vm]\nid = 3\n"}) {
    cluster.ReloadVmFrom(0, text);
    SleepFor(Millis(200));
  }
  CheckServes(cluster, "after");
  CHECK(cluster.LogOf(0).find("The settings can't be read") !=
        std::string::npos);
}

// Guards against a process that a signal ends because it hasn't set up the
// handling of signals yet.
TEST_CASE("a gateway that is starting keeps a signal until it can handle it") {
  GatewayClusterOptions options;
  options.m_vms = 1;
  GatewayCluster cluster(options);
  const std::string text = ReadFile(cluster.SettingsPath(0));
  cluster.Vm(0).Kill();
  int fd = LaunchWaitingForSettings(cluster);
  cluster.Vm(0).Signal(SIGHUP);
  SleepFor(Millis(50));
  GiveSettings(cluster, fd, text);
  cluster.WaitReady(0);
  CheckServes(cluster, "after");
  CHECK(WaitFor([&] {
    return cluster.LogOf(0).find("Read the settings again.") !=
           std::string::npos;
  }));

  cluster.Vm(0).Kill();
  fd = LaunchWaitingForSettings(cluster);
  cluster.Vm(0).Signal(SIGTERM);
  SleepFor(Millis(50));
  GiveSettings(cluster, fd, text);
  CHECK(cluster.Vm(0).Wait(Millis(10'000)) == 0);
}

// The daemon has no settings to read again.
TEST_CASE("SIGHUP ends no daemon") {
  Cluster cluster(ClusterOptions{});
  cluster.Vm(0).Signal(SIGHUP);
  SleepFor(Millis(200));
  CHECK(cluster.Vm(0).IsRunning());
}

}  // namespace
}  // namespace bronzecross
