#include "coppervalve/standin/fencing_check.h"

#include <algorithm>  // max

namespace coppervalve::standin {

bool FencingCheck::Admit(core::FencingNumber number) {
  if (m_enabled && number < m_highest) {
    return false;
  }
  m_highest = std::max(m_highest, number);
  return true;
}

}  // namespace coppervalve::standin
