#include "limits/admission.h"

#include "limits/limiter.h"

namespace bronzecross {

Admission::~Admission() {
  if (m_limiter != nullptr) {
    m_limiter->FinishAdmission(m_workspace, m_token, true);
  }
}

void Admission::GiveBack() {
  if (m_limiter != nullptr) {
    m_limiter->FinishAdmission(m_workspace, m_token, false);
    m_limiter = nullptr;
  }
}

}  // namespace bronzecross
