#ifndef COPPERVALVE_ORDERS_SEND_OUTCOME_H_
#define COPPERVALVE_ORDERS_SEND_OUTCOME_H_

#include <cstdint>  // uint8_t

namespace coppervalve::orders {

/// @brief Result of one attempt to send an order to an upstream.
enum class SendOutcome : uint8_t {
  kDone,     ///< acknowledged
  kRefused,  ///< rejected without any effect
  kNotSent,  ///< no byte left this router
  kUnknown,  ///< sent, but no valid reply received
};

}  // namespace coppervalve::orders

#endif  // COPPERVALVE_ORDERS_SEND_OUTCOME_H_
