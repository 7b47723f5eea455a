#ifndef COPPERVALVE_SRC_NET_CALLER_READER_H_
#define COPPERVALVE_SRC_NET_CALLER_READER_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>  // function
#include <memory>      // shared_ptr

#include "coppervalve/core/result.h"
#include "coppervalve/net/caller_server.h"
#include "coppervalve/net/http_types.h"

namespace coppervalve::net {

/// @brief Reads requests from one connection. Not thread-safe.
class CallerReader {
 public:
  using Done = std::function<void(core::Result<HttpRequest>)>;

  CallerReader(boost::asio::io_context& context,
               boost::asio::ip::tcp::socket& socket,
               const CallerLimits& limits);
  CallerReader(const CallerReader&) = delete;
  CallerReader& operator=(const CallerReader&) = delete;
  ~CallerReader();

  /// @brief Reads one request. @pre no read is in progress
  /// @param done called with the request, or with an error to answer:
  /// kHeaderTooLarge, kBodyTooLarge, kSlowSender, kBadRequest
  /// @param on_closed called instead when the connection was closed
  void Read(Done done, std::function<void()> on_closed);
  /// @brief Sets a handler that is called after each part of a request that was
  /// received, with the bytes of memory that the request takes so far.
  void SetProgressHandler(std::function<void(size_t held)> on_progress);
  /// @return whether the connection may be used for another request
  bool keep_alive() const;
  /// @return whether the first byte of the current request has been received
  bool begun() const;
  /// @brief Clears the callbacks; a request that is being read is discarded.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_CALLER_READER_H_
