#ifndef COPPERVALVE_SRC_NET_HTTP_CHANNEL_H_
#define COPPERVALVE_SRC_NET_HTTP_CHANNEL_H_

#include <chrono>      // milliseconds
#include <cstddef>     // size_t
#include <functional>  // function
#include <memory>      // unique_ptr
#include <string>      // string

#include "coppervalve/core/result.h"
#include "coppervalve/net/http_types.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace coppervalve::net {

/// @brief A complete HTTP answer.
struct HttpReply {
  HttpHead head;
  std::string body;
};

/// @brief One HTTP connection to a platform service, one call at a time. Used
/// only on the thread of its io_context.
class HttpChannel {
 public:
  using Done = std::function<void(core::Result<HttpReply>)>;

  HttpChannel(boost::asio::io_context& context,
              std::string address,
              size_t max_reply_bytes);
  HttpChannel(const HttpChannel&) = delete;
  HttpChannel& operator=(const HttpChannel&) = delete;
  ~HttpChannel();

  /// @brief Sends a request once, without retries. @pre no call is outstanding
  /// @param done called asynchronously with any HTTP status, or kUpstreamFailed
  void Call(const HttpRequest& request,
            std::chrono::milliseconds timeout,
            Done done);
  /// @return whether a byte of the latest call may have been sent
  bool sent() const;

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_HTTP_CHANNEL_H_
