#include <doctest/doctest.h>

#include <cmath>

#include "prompt_cache/prompt_cache_view.h"

namespace bronzecross {
namespace {

constexpr Millis kStart{1'000'000};

PromptChain Prompt(uint64_t first, uint64_t session, uint64_t own) {
  const platform::PromptPart parts[] = {
      {first, 100}, {1'000 + session, 100}, {1'000'000 + own, 250}};
  return ChainParts(parts, true);
}

int64_t TokensOf(const HeldParts& held) {
  int64_t tokens = 0;
  for (const HeldPart& part : held) {
    tokens += part.m_tokens;
  }
  return tokens;
}

void Answer(PromptCacheView& view,
            uint32_t engine,
            const PromptChain& prompt,
            Millis now,
            int64_t memory_tokens = 72'000) {
  view.OnSent(engine, memory_tokens, prompt, now);
  view.OnResponse(engine, prompt, now);
}

// Guards against a part that counts as held although other parts come before
// it: the engine would prefill it.
TEST_CASE("a part is held only behind the parts it was sent behind") {
  PromptCacheView view;
  Answer(view, 1, Prompt(1, 2, 3), kStart);
  CHECK(TokensOf(view.Find(1, Prompt(1, 2, 4), kStart)) == 200);
  CHECK(TokensOf(view.Find(1, Prompt(1, 5, 3), kStart)) == 100);
  CHECK(view.Find(1, Prompt(6, 2, 3), kStart).empty());
  CHECK(view.Find(2, Prompt(1, 2, 3), kStart).empty());
}

TEST_CASE("a restarted engine holds nothing") {
  const uint32_t before = EngineRunKey("i-1", Millis(5'000));
  const uint32_t after = EngineRunKey("i-1", Millis(9'000));
  CHECK(before == EngineRunKey("i-1", Millis(5'000)));
  PromptCacheView view;
  Answer(view, before, Prompt(1, 2, 3), kStart);
  CHECK(view.Find(after, Prompt(1, 2, 3), kStart).empty());
}

// Guards against savings that are expected of engines that refused the request.
TEST_CASE("an unanswered prompt counts for less, a refused one for nothing") {
  PromptCacheView view;
  const PromptChain prompt = Prompt(1, 2, 3);
  const PrefillState engine{100, false, false};
  view.OnSent(1, 0, prompt, kStart);
  const double sent = ExpectedSavedMs(view.Find(1, prompt, kStart), engine);
  view.OnResponse(1, prompt, kStart);
  const double answered = ExpectedSavedMs(view.Find(1, prompt, kStart), engine);
  CHECK(answered == doctest::Approx(4.5));
  CHECK(sent == doctest::Approx(answered / 2));
  view.OnSent(1, 0, Prompt(1, 2, 4), kStart);
  view.OnNotRun(1, Prompt(1, 2, 4));
  CHECK(TokensOf(view.Find(1, Prompt(1, 2, 4), kStart)) == 200);
  view.OnSent(2, 0, prompt, kStart);
  view.OnNotRun(2, prompt);
  CHECK(view.Find(2, prompt, kStart).empty());
  CHECK(view.CountPrefixes() == 3);
}

TEST_CASE("stale knowledge fades, and a slow or full engine saves nothing") {
  PromptCacheView view;
  const PromptChain prompt = Prompt(1, 2, 3);
  Answer(view, 1, prompt, kStart);
  double last = 1e9;
  for (int64_t age = 0; age <= 120'000; age += 10'000) {
    const HeldParts held = view.Find(1, prompt, kStart + Millis(age));
    const double saved = ExpectedSavedMs(held, {75, false, false});
    CHECK(saved < last);
    CHECK(ExpectedSavedMs(held, {75, true, false}) == 0);
    CHECK(ExpectedSavedMs(held, {75, false, true}) == 0);
    last = saved;
  }
  CHECK(last == 0);
  CHECK(ExpectedSavedMs(view.Find(1, prompt, kStart), {0, false, false}) == 0);
}

// Guards against a prediction of more tokens than an engine has memory for, and
// against one that forgets the start of prompts before the parts behind it.
TEST_CASE("the least recently used prefixes leave the memory of an engine") {
  PromptCacheView view;
  for (uint64_t i = 0; i < 1'000; ++i) {
    Answer(view, 1, Prompt(1, i, i), kStart, 3'600);
  }
  // One shared part and the parts of the last ten sessions.
  CHECK(view.CountPrefixes() == 21);
  CHECK(TokensOf(view.Find(1, Prompt(1, 999, 0), kStart)) == 200);
  CHECK(TokensOf(view.Find(1, Prompt(1, 990, 0), kStart)) == 200);
  CHECK(TokensOf(view.Find(1, Prompt(1, 989, 0), kStart)) == 100);
}

TEST_CASE("recent requests of an engine are counted and forgotten") {
  PromptCacheView view;
  for (uint64_t i = 0; i < 8; ++i) {
    view.OnSent(1, 0, Prompt(1, 2, i), kStart);
  }
  CHECK(view.CountRecentRequests(1, kStart) == doctest::Approx(8));
  CHECK(view.CountRecentRequests(1, kStart + Millis(60'000)) < 0.2);
  CHECK(view.CountRecentRequests(2, kStart) == 0);
}

// Guards against memory that grows with sessions and with the fleet.
TEST_CASE("the view of a large fleet is bounded") {
  PromptCacheView view;
  for (uint32_t engine = 0; engine < 10'000; ++engine) {
    for (uint64_t i = 0; i < 20; ++i) {
      Answer(view, engine, Prompt(i, engine, i), kStart, 0);
    }
  }
  CHECK(view.CountPrefixes() <= 32'768);
  CHECK(view.Find(0, Prompt(1, 0, 1), kStart).empty());
  CHECK(TokensOf(view.Find(9'999, Prompt(1, 9'999, 1), kStart)) == 450);
  for (uint64_t i = 0; i < 5'000; ++i) {
    Answer(view, 9'999, Prompt(i, 0, 0), kStart, 0);
  }
  CHECK(view.Find(9'999, Prompt(3'000, 0, 0), kStart).empty());
}

TEST_CASE(
    "the VMs of a group learn of shared prefixes in spite of lost gossip") {
  PromptCacheView sender;
  PromptCacheView receiver;
  Answer(sender, 1, Prompt(1, 2, 3), kStart);
  GossipMessage lost;
  sender.AddToGossip(lost, kStart);
  GossipMessage gossip;
  sender.AddToGossip(gossip, kStart + Millis(10));
  CHECK(gossip.m_prefixes.empty());
  sender.AddToGossip(gossip, kStart + Millis(100));
  // The own part of a request isn't reported, its memory is.
  REQUIRE(gossip.m_prefixes.size() == 2);
  receiver.OnGossip(gossip, kStart);
  CHECK(TokensOf(receiver.Find(1, Prompt(1, 2, 3), kStart)) == 200);
  CHECK(receiver.CountPrefixes() == 3);
  GossipMessage third;
  sender.AddToGossip(third, kStart + Millis(200));
  CHECK(third.m_prefixes.empty());
  // What all VMs know already isn't reported again at once.
  Answer(receiver, 1, Prompt(1, 2, 4), kStart + Millis(100));
  receiver.AddToGossip(third, kStart + Millis(300));
  CHECK(third.m_prefixes.empty());
  // A last part that comes again belongs to a session.
  Answer(receiver, 1, Prompt(1, 2, 4), kStart + Millis(200));
  receiver.AddToGossip(third, kStart + Millis(300));
  CHECK(third.m_prefixes.size() == 1);
}

TEST_CASE("reports are few, the newest first, however many requests run") {
  PromptCacheView view;
  for (uint64_t i = 0; i < 1'000; ++i) {
    Answer(view, 1, Prompt(1, i, i), kStart);
  }
  size_t rows = 0;
  for (int message = 0; message < 100; ++message) {
    GossipMessage gossip;
    view.AddToGossip(gossip, kStart + Millis(100 * message));
    CHECK(gossip.m_prefixes.size() <= kMaxPrefixReports);
    if (message == 0) {
      CHECK(gossip.m_prefixes[0].m_prefix == Prompt(1, 999, 0)[1].m_prefix);
    }
    rows += gossip.m_prefixes.size();
  }
  CHECK(rows == 64);
}

}  // namespace
}  // namespace bronzecross
