// Holds the token that was taken for a request.

#ifndef BRONZECROSS_LIMITS_ADMISSION_H_
#define BRONZECROSS_LIMITS_ADMISSION_H_

#include <string>
#include <utility>

#include "limits/workspace_tokens.h"

namespace bronzecross {

class Limiter;

// Spends the token when destroyed, unless GiveBack() was called. Movable.
class Admission {
 public:
  Admission() = default;
  Admission(Limiter& limiter, std::string workspace, TakenToken token)
      : m_limiter(&limiter),
        m_workspace(std::move(workspace)),
        m_token(std::move(token)) {}
  ~Admission();
  Admission(Admission&& other) noexcept { Swap(other); }
  Admission& operator=(Admission&& other) noexcept {
    Swap(other);
    return *this;
  }

  // Returns the token of a request that did not run.
  void GiveBack();

 private:
  void Swap(Admission& other) noexcept {
    std::swap(m_limiter, other.m_limiter);
    std::swap(m_workspace, other.m_workspace);
    std::swap(m_token, other.m_token);
  }

  Limiter* m_limiter = nullptr;  // null: holds no token
  std::string m_workspace;
  TakenToken m_token;
};

}  // namespace bronzecross

#endif  // BRONZECROSS_LIMITS_ADMISSION_H_
