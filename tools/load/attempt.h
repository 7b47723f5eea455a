#ifndef COPPERVALVE_TOOLS_LOAD_ATTEMPT_H_
#define COPPERVALVE_TOOLS_LOAD_ATTEMPT_H_

#include <boost/asio/awaitable.hpp>
#include <string>  // string

#include "tools/load/outcome.h"
#include "tools/load/plan.h"

namespace coppervalve::load {

/// @brief Sends a request to one address and classifies the response.
/// @param plan must outlive the attempt
boost::asio::awaitable<AttemptResult> RunAttempt(const ClassPlan& plan,
                                                 std::string address,
                                                 std::string key,
                                                 std::string body);

/// @return the request body for this class
std::string MakeBody(const ClassPlan& plan, size_t number);

}  // namespace coppervalve::load

#endif  // COPPERVALVE_TOOLS_LOAD_ATTEMPT_H_
