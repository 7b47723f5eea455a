#include "coppervalve/standin/fencing_gate.h"

#include <algorithm>  // max

namespace coppervalve::standin {

bool FencingGate::Admit(core::FencingNumber number) {
  if (m_checks && number < m_highest) {
    return false;
  }
  m_highest = std::max(m_highest, number);
  return true;
}

}  // namespace coppervalve::standin
