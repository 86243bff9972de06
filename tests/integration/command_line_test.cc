// The two programs' command lines.

#include <cstdio>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>

#include <doctest/doctest.h>

#include "harness/child_process.h"
#include "standins/kv_standin.h"

namespace bronzecross {
namespace {

struct RunResult {
  int m_status = -1;
  std::string m_output;
};

class CommandRunner {
 public:
  CommandRunner() {
    std::string pattern =
        (std::filesystem::temp_directory_path() / "bx-cli-XXXXXX").string();
    m_folder = mkdtemp(pattern.data());
  }
  ~CommandRunner() { std::filesystem::remove_all(m_folder); }

  RunResult Run(const std::vector<std::string>& command) {
    const std::string log = m_folder + "/output";
    std::filesystem::remove(log);
    ChildProcess process;
    process.Start(command, log);
    RunResult result;
    result.m_status = process.Wait(Millis(10'000));
    std::stringstream text;
    text << std::ifstream(log).rdbuf();
    result.m_output = text.str();
    return result;
  }

  std::string Write(const std::string& name, const std::string& text) {
    const std::string path = m_folder + "/" + name;
    std::ofstream(path) << text;
    return path;
  }

 private:
  std::string m_folder;
};

}  // namespace

TEST_CASE("the daemon checks its settings and says what is wrong") {
  CommandRunner runner;
  CHECK(runner.Run({BRONZECROSS_DAEMON, "--help"}).m_status == 0);
  CHECK(runner.Run({BRONZECROSS_DAEMON, "--version"})
            .m_output.starts_with("bronzecross "));
  CHECK(runner.Run({BRONZECROSS_DAEMON, "--nonsense"}).m_status == 2);
  const std::string good =
      runner.Write("good.toml",
                   "[vm]\nid=\"a\"\navailability_zone=\"z\"\n[store]\n"
                   "endpoints=[\"http://127.0.0.1:1\"]\n[vm_list]\n"
                   "url=\"http://127.0.0.1:1/vms\"\n");
  CHECK(runner.Run({BRONZECROSS_DAEMON, "--check", "-s", good}).m_status == 0);
  const std::string bad = runner.Write("bad.toml", "[vm]\nid = 3\n");
  const RunResult refused =
      runner.Run({BRONZECROSS_DAEMON, "--check", "-s", bad});
  CHECK(refused.m_status == 2);
  CHECK(refused.m_output.find("bad.toml:2: \"id\" must be a string") !=
        std::string::npos);
}

TEST_CASE("a broken manifest changes nothing, a good one is published") {
  CommandRunner runner;
  KvStandin kv;
  const std::string store = "--store=" + kv.Url();
  const std::string bad = runner.Write("bad.toml", "[[workspace]]\n");
  const RunResult refused =
      runner.Run({BRONZECROSS_CTL, store, "publish", bad});
  CHECK(refused.m_status == 2);
  CHECK(refused.m_output.find("bad.toml:1: \"name\" is missing") !=
        std::string::npos);
  CHECK(kv.Get("/bronzecross/manifest").empty());
  const std::string good = runner.Write(
      "good.toml",
      "[[workspace]]\nname = \"w\"\n[[key]]\nid = \"k\"\nworkspace = \"w\"\n"
      "sha256 = \"ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61"
      "f20015ad\"\n");
  CHECK(runner.Run({BRONZECROSS_CTL, store, "publish", good}).m_output ==
        "published generation 1\n");
  CHECK(runner.Run({BRONZECROSS_CTL, store, "diff", good})
            .m_output.starts_with("0 differences"));
  const RunResult conflict = runner.Run(
      {BRONZECROSS_CTL, store, "--expect-generation=7", "publish", good});
  CHECK(conflict.m_status == 3);
  CHECK(runner.Run({BRONZECROSS_CTL, store, "withdraw-key", "k"}).m_output ==
        "withdrawn in generation 2\n");
  CHECK(runner.Run({BRONZECROSS_CTL, store, "withdraw-key", "none"}).m_status ==
        2);
}

}  // namespace bronzecross
