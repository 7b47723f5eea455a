#ifndef COPPERVALVE_SRC_NET_UPSTREAM_ATTEMPT_H_
#define COPPERVALVE_SRC_NET_UPSTREAM_ATTEMPT_H_

#include <chrono>      // microseconds
#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // shared_ptr
#include <string>      // string

#include "coppervalve/core/ids.h"
#include "coppervalve/net/answer.h"
#include "coppervalve/router/events.h"
#include "held_bytes.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace coppervalve::net {

class UpstreamPool;

/// @brief Parameters of one attempt at an upstream.
struct AttemptPlan {
  core::RequestId request;
  core::AttemptId attempt;
  std::string address;
  std::string wire;  ///< the serialized request
  bool head_request = false;
  bool model_work = false;
  bool stream = false;
  bool relay_usage = false;  ///< the caller requested the usage event
  std::chrono::microseconds connect_timeout{};
  std::chrono::microseconds first_token_timeout{};
  std::chrono::microseconds inter_token_timeout{};
  /// Timeout of an answer that is not streamed.
  std::chrono::microseconds complete_answer_timeout{};
  size_t max_answer_bytes = 0;
  /// Of all attempts: what they keep of answers that are not complete.
  std::shared_ptr<HeldBytes> held;
};

/// @brief One attempt of a request at one upstream. Used only on the thread of
/// its io_context; kept until it has ended or was cancelled.
class UpstreamAttempt {
 public:
  /// Reports AttemptFirstToken, then exactly one of AttemptNotSent,
  /// AttemptDeclined, AttemptDone and AttemptFailed; nothing after Cancel().
  using Report = std::function<void(router::Event)>;

  UpstreamAttempt(boost::asio::io_context& context,
                  UpstreamPool& pool,
                  AttemptPlan plan,
                  std::shared_ptr<Answer> answer,
                  Report report);
  UpstreamAttempt(const UpstreamAttempt&) = delete;
  UpstreamAttempt& operator=(const UpstreamAttempt&) = delete;
  /// Calls Cancel().
  ~UpstreamAttempt();

  core::AttemptId id() const;
  /// @brief Closes the connection and reports nothing more.
  void Cancel();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_UPSTREAM_ATTEMPT_H_
