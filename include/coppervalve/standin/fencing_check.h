#ifndef COPPERVALVE_STANDIN_FENCING_CHECK_H_
#define COPPERVALVE_STANDIN_FENCING_CHECK_H_

#include "coppervalve/core/ids.h"

namespace coppervalve::standin {

/// @brief Rejects orders with an outdated fencing number.
class FencingCheck {
 public:
  /// @param enabled false accepts every order, as some engines do
  explicit FencingCheck(bool enabled) : m_enabled(enabled) {}

  /// @brief Accepts an order unless its number is below the highest so far. An
  /// equal number is accepted because the order may be a repeat.
  bool Admit(core::FencingNumber number);

  core::FencingNumber highest() const { return m_highest; }

 private:
  bool m_enabled;
  core::FencingNumber m_highest;
};

}  // namespace coppervalve::standin

#endif  // COPPERVALVE_STANDIN_FENCING_CHECK_H_
