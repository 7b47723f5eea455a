#ifndef COPPERVALVE_STANDIN_FENCING_GATE_H_
#define COPPERVALVE_STANDIN_FENCING_GATE_H_

#include "coppervalve/core/ids.h"

namespace coppervalve::standin {

/// @brief Decides whether an order's fencing number is current.
class FencingGate {
 public:
  /// @param checks false: every order is taken, as some engines do
  explicit FencingGate(bool checks) : m_checks(checks) {}

  /// @brief Takes or refuses an order. The highest number so far may come again
  /// (a repeat).
  bool Admit(core::FencingNumber number);

  core::FencingNumber highest() const { return m_highest; }

 private:
  bool m_checks;
  core::FencingNumber m_highest;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_FENCING_GATE_H_
