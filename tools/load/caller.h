#ifndef COPPERVALVE_TOOLS_LOAD_CALLER_H_
#define COPPERVALVE_TOOLS_LOAD_CALLER_H_

#include <boost/asio/awaitable.hpp>
#include <cstddef>     // size_t
#include <cstdint>     // uint64_t
#include <functional>  // function
#include <string>      // string

#include "tools/load/address_list.h"
#include "tools/load/outcome.h"
#include "tools/load/plan.h"

namespace coppervalve::load {

/// @brief A caller of a client account that follows the rules for callers: one
/// key for all attempts of a request, the next address after a failure, and the
/// retry delays requested by the fleet.
class Caller {
 public:
  /// @param plan must outlive the caller
  Caller(const ClassPlan& plan,
         AddressList addresses,
         std::function<uint64_t()> random);

  /// @brief Sends one request and retries it as far as the rules allow.
  boost::asio::awaitable<Outcome> Send(size_t number);

 private:
  bool MayRetry(const AttemptResult& result) const;
  std::string MakeKey(const std::string& prefix);

  const ClassPlan& m_plan;
  AddressList m_addresses;
  std::function<uint64_t()> m_random;
};

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_CALLER_H_
