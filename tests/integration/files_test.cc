// Files streamed through real daemons.

#include <algorithm>

#include <doctest/doctest.h>

#include "harness/cluster.h"

namespace bronzecross {
namespace {

using nlohmann::json;

ClusterOptions Options(std::string settings) {
  ClusterOptions options;
  options.m_vms = 4;
  options.m_engines.clear();
  options.m_services = 0;
  options.m_settings = std::move(settings);
  return options;
}

std::string Lines(int count) {
  std::string text;
  for (int i = 0; i < count; ++i) {
    text +=
        "{\"line\":" + std::to_string(i) + "}" + (i % 7 == 0 ? "\r\n\n" : "\n");
  }
  return text + "{\"last\":\"without end\"}";
}

}  // namespace

TEST_CASE("a file comes back byte for byte through any VM") {
  Cluster cluster(Options("[http]\nmax_file_bytes = 4000000\n"));
  TestCaller& caller = cluster.Caller();
  const std::string files = cluster.Url(3) + "/v1/files";
  const std::string key = Cluster::Key(0);
  const std::string text = Lines(100'000);
  const json file = caller.CallJson("POST", files, key, text);
  REQUIRE(file.contains("id"));
  CHECK(file["bytes"] == text.size());
  CHECK(file["lines"] == 100'001);
  const std::string path =
      cluster.Url(0) + "/v1/files/" + file["id"].get<std::string>();
  CHECK(caller.Call("GET", path + "/content", key)->m_body == text);
  CHECK(caller.CallJson("GET", path, key)["id"] == file["id"]);
  CHECK(caller.Call("GET", path, Cluster::Key(1))->m_status == 404);

  const std::string form =
      "--xyz\r\nContent-Disposition: form-data; name=\"purpose\"\r\n\r\n"
      "batch\r\n--xyz\r\nContent-Disposition: form-data; name=\"file\"; "
      "filename=\"input.jsonl\"\r\n\r\n" +
      text + "\r\n--xyz--\r\n";
  const Result<HttpAnswer> posted =
      caller.Call("POST", files, key, form,
                  {{"Content-Type", "multipart/form-data; boundary=xyz"}});
  REQUIRE(posted->m_status == 200);
  const json second = json::parse(posted->m_body);
  CHECK(second["filename"] == "input.jsonl");
  CHECK(second["bytes"] == text.size());
  CHECK(caller.CallJson("GET", files, key)["data"].size() == 2);
  CHECK(caller.CallJson("GET", files, Cluster::Key(1))["data"].empty());

  CHECK(caller.CallJson("DELETE", path, key)["deleted"] == true);
  CHECK(caller.Call("GET", path + "/content", key)->m_status == 404);
  CHECK(caller.Call("POST", files, key, Lines(300'000))->m_status == 413);
  CHECK(caller.Call("POST", files, "wrong", text)->m_status == 401);
  CHECK(caller.CallJson("GET", files, key)["data"].size() == 1);
}

// Guards against a full disk that loses what was taken before.
TEST_CASE("a full disk refuses new files and keeps the old ones") {
  ClusterOptions options = Options("");
  options.m_data_max_bytes = 4 << 20;
  Cluster cluster(options);
  TestCaller& caller = cluster.Caller();
  const std::string files = cluster.Url(3) + "/v1/files";
  const std::string key = Cluster::Key(0);
  const std::string text = Lines(20'000);
  std::vector<std::string> taken;
  Result<HttpAnswer> answer = caller.Call("POST", files, key, text);
  while (answer && answer->m_status == 200 && taken.size() < 100) {
    taken.push_back(json::parse(answer->m_body)["id"]);
    answer = caller.Call("POST", files, key, text);
  }
  REQUIRE(answer.has_value());
  CHECK(answer->m_status == 507);
  CHECK(FindHeader(answer->m_headers, "X-Bronzecross-Run") == "not_run");
  CHECK(taken.size() > 2);
  for (const std::string& id : taken) {
    CHECK(caller.Call("GET", files + "/" + id + "/content", key)->m_body ==
          text);
  }
  // Room that a deleted file leaves is used again.
  caller.CallJson("DELETE", files + "/" + taken[0], key);
  CHECK(WaitFor([&] {
    return caller.Call("POST", files, key, Lines(1000))->m_status == 200;
  }));
}

}  // namespace bronzecross
