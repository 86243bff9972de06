// Checks that no window exceeds rate x window + burst, with random traffic on
// several VMs that lend and return tokens, lose messages, lose and move slots
// and change their limit.

#include "limits/workspace_tokens.h"

#include <algorithm>

#include <doctest/doctest.h>

#include "base/random.h"

namespace bronzecross {
namespace {

struct Message {
  Millis m_arrives;
  size_t m_from = 0;
  size_t m_to = 0;
  uint64_t m_id = 0;
  double m_amount = 0;
  Millis m_sent;
  FleetLimit m_limit;
  enum Kind { kRequest, kLoan, kReturn } m_kind = kRequest;
};

class Fleet {
 public:
  Fleet(uint64_t seed, FleetLimit limit)
      : m_random(seed), m_limit(limit), m_vms(1 + RandomBelow(m_random, 6)) {
    for (size_t vm = 0; vm < m_vms.size(); ++vm) {
      m_shares.push_back(1.0 / static_cast<double>(m_vms.size()));
      m_since.push_back(1);
    }
  }

  void Run(Millis length) {
    for (; m_now < length; m_now += Millis(1)) {
      if (RandomBelow(m_random, 400) == 0) {
        MoveShare();
      }
      if (RandomBelow(m_random, 500) == 0) {
        m_busy = RandomBelow(m_random, m_vms.size());
      }
      Deliver();
      const uint64_t arrivals = RandomBelow(m_random, 4);
      for (uint64_t i = 0; i < arrivals; ++i) {
        Arrive(RandomBelow(m_random, 4) != 0
                   ? m_busy
                   : RandomBelow(m_random, m_vms.size()));
      }
      FinishRequests();
    }
  }

  void SetLimit(FleetLimit limit) { m_limit = limit; }

  // Returns the number of admissions above rate x window + burst in the worst
  // window after `start`.
  double WorstExcess(Millis start, FleetLimit limit) const {
    double worst = -1e9;
    double level = 0;  // excess of the worst window that ends here
    Millis last = start;
    for (const Millis at : m_admitted) {
      if (at < start) {
        continue;
      }
      level = std::max(0.0, level - limit.m_rate_per_s * (at - last).Seconds());
      level += 1;
      last = at;
      worst = std::max(worst, level - limit.m_burst);
    }
    return worst;
  }

  size_t Admitted() const { return m_admitted.size(); }

 private:
  WorkspaceTokens& Update(size_t vm) {
    UpdateTokens(m_vms[vm], m_limit,
                 {m_shares[vm], m_since[vm], Millis(INT64_MAX)}, m_now);
    return m_vms[vm];
  }

  // Moves the slots of a lost VM to another one, without its tokens.
  void MoveShare() {
    const size_t from = RandomBelow(m_random, m_vms.size());
    const size_t to = RandomBelow(m_random, m_vms.size());
    if (from != to) {
      Update(to);
      m_shares[to] += std::exchange(m_shares[from], 0.0);
      m_since[from] = ++m_version;
    }
  }

  void Send(Message message) {
    message.m_arrives =
        m_now + Millis(static_cast<int64_t>(RandomBelow(m_random, 60)));
    const uint64_t outcome = RandomBelow(m_random, 20);
    if (outcome != 0) {
      m_messages.push_back(message);
    }
    // Duplicates a return, which must not be credited twice.
    if (outcome == 1 && message.m_kind == Message::kReturn) {
      message.m_arrives += Millis(20);
      m_messages.push_back(message);
    }
  }

  void Deliver() {
    std::vector<Message> due;
    std::erase_if(m_messages, [&](const Message& message) {
      if (message.m_arrives > m_now) {
        return false;
      }
      due.push_back(message);
      return true;
    });
    for (Message& message : due) {
      WorkspaceTokens& tokens = Update(message.m_to);
      if (message.m_kind == Message::kRequest) {
        const uint64_t id = ++m_next_id;
        message.m_amount =
            LendTokens(tokens, id, {message.m_amount, 100}, m_now);
        message.m_id = id;
        std::swap(message.m_from, message.m_to);
        message.m_kind = Message::kLoan;
        Send(message);
      } else if (message.m_kind == Message::kLoan) {
        AddLoan(tokens, message.m_id, std::to_string(message.m_from),
                message.m_amount, message.m_sent, message.m_limit, m_now);
      } else {
        GiveBackTokens(tokens.m_bucket, message.m_id, message.m_amount);
      }
    }
  }

  void Arrive(size_t vm) {
    WorkspaceTokens& tokens = Update(vm);
    CountArrival(tokens.m_demand, m_now);
    std::optional<TakenToken> taken = TakeToken(tokens, ++m_next_id, m_now);
    for (size_t peer = 0; peer < m_vms.size(); ++peer) {
      if (peer == vm) {
        continue;
      }
      if (!taken) {
        Send({Millis(0), vm, peer, 0, 2, m_now, m_limit, Message::kRequest});
      }
      for (const Loan& loan :
           TakeSurplus(tokens, std::to_string(peer), m_now)) {
        Send({Millis(0), vm, peer, loan.m_id, loan.m_tokens, m_now, m_limit,
              Message::kReturn});
      }
    }
    if (taken) {
      m_open.push_back({vm, *taken, m_now});
    }
  }

  // Ends open requests at random. Some did not run, and their tokens are given
  // back.
  void FinishRequests() {
    std::erase_if(m_open, [&](const Open& open) {
      if (RandomBelow(m_random, 30) != 0) {
        return false;
      }
      WorkspaceTokens& tokens = Update(open.m_vm);
      if (RandomBelow(m_random, 4) == 0) {
        GiveBackToken(tokens, open.m_token);
      } else {
        SpendToken(tokens, open.m_token);
        m_admitted.insert(
            std::upper_bound(m_admitted.begin(), m_admitted.end(), open.m_at),
            open.m_at);
      }
      return true;
    });
  }

  struct Open {
    size_t m_vm = 0;
    TakenToken m_token;
    Millis m_at;
  };

  Random m_random;
  FleetLimit m_limit;
  Millis m_now{1};
  std::vector<WorkspaceTokens> m_vms;
  std::vector<double> m_shares;
  std::vector<int64_t> m_since;
  int64_t m_version = 1;
  uint64_t m_next_id = 0;
  size_t m_busy = 0;
  std::vector<Message> m_messages;
  std::vector<Open> m_open;
  std::vector<Millis> m_admitted;
};

}  // namespace

TEST_CASE("all VMs together admit at most rate x window + burst") {
  for (uint64_t seed = 1; seed <= 60; ++seed) {
    CAPTURE(seed);
    Random random(seed);
    const FleetLimit limit{20.0 + static_cast<double>(RandomBelow(random, 400)),
                           5.0 + static_cast<double>(RandomBelow(random, 200))};
    Fleet fleet(seed, limit);
    fleet.Run(Millis(4000));
    CHECK(fleet.WorstExcess(Millis(0), limit) <= 1e-6);
    CHECK(fleet.Admitted() > 0);
  }
}

// Guards against using tokens of a higher limit after the limit was lowered.
TEST_CASE("a lower limit applies at once") {
  for (uint64_t seed = 1; seed <= 30; ++seed) {
    CAPTURE(seed);
    Fleet fleet(seed, {500, 200});
    fleet.Run(Millis(1500));
    fleet.SetLimit({50, 20});
    fleet.Run(Millis(3500));
    CHECK(fleet.WorstExcess(Millis(1500), {50, 20}) <= 1e-6);
  }
}

TEST_CASE(
    "a VM takes and lends no tokens of its slots after the end of their "
    "validity") {
  WorkspaceTokens tokens;
  const FleetLimit limit{100, 100};
  UpdateTokens(tokens, limit, {1, 1, Millis(1500)}, Millis(0));
  UpdateTokens(tokens, limit, {1, 1, Millis(1500)}, Millis(1000));
  UpdateTokens(tokens, limit, {1, 1, Millis(1500)}, Millis(1499));
  CHECK(TakeToken(tokens, 1, Millis(1499))->m_valid_until == Millis(1500));
  CHECK_FALSE(TakeToken(tokens, 2, Millis(1500)).has_value());
  CHECK(LendTokens(tokens, 3, {5, 1}, Millis(1500)) == 0);
}

}  // namespace bronzecross
