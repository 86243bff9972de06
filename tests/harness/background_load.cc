#include "harness/background_load.h"

#include <absl/strings/str_cat.h>

namespace bronzecross {

BackgroundLoad::BackgroundLoad(Cluster& cluster, BackgroundLoadOptions options)
    : m_cluster(cluster), m_options(std::move(options)) {
  for (int caller = 0; caller < m_options.m_callers; ++caller) {
    m_threads.emplace_back([this, caller] { RunCaller(caller); });
  }
}

BackgroundLoad::~BackgroundLoad() {
  Stop();
}

void BackgroundLoad::Stop() {
  m_stopping = true;
  for (std::thread& thread : m_threads) {
    thread.join();
  }
  m_threads.clear();
}

std::vector<LoadSample> BackgroundLoad::Samples() const {
  absl::MutexLock lock(&m_mutex);
  return m_samples;
}

void BackgroundLoad::RunCaller(int caller) {
  for (int64_t i = 0; !m_stopping; ++i) {
    LoadSample sample;
    sample.m_vm = m_options.m_choose_vm(caller, i);
    ChatRequest request;
    request.m_url = m_cluster.Url(sample.m_vm);
    request.m_key = Cluster::Key(m_options.m_workspace);
    request.m_prompt = absl::StrCat("load ", caller, " ", i);
    request.m_tokens = m_options.m_tokens;
    request.m_stream = i % 2 == 0;
    sample.m_sent = MonotonicNow();
    sample.m_outcome = m_cluster.Caller().Chat(request);
    {
      absl::MutexLock lock(&m_mutex);
      m_samples.push_back(std::move(sample));
    }
    SleepFor(m_options.m_pause);
  }
}

}  // namespace bronzecross
