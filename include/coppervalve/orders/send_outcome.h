#ifndef COPPERVALVE_ORDERS_SEND_OUTCOME_H_
#define COPPERVALVE_ORDERS_SEND_OUTCOME_H_

#include <cstdint>  // uint8_t

namespace coppervalve::orders {

/// @brief How one try to send an order to an upstream ended.
enum class SendOutcome : uint8_t {
  kDone,     ///< acknowledged
  kRefused,  ///< as a whole; nothing changed
  kNotSent,  ///< no byte left this router
  kUnknown,  ///< sent, and no valid reply came
};

}  // namespace coppervalve::orders

#endif  // COPPERVALVE_ORDERS_SEND_OUTCOME_H_
