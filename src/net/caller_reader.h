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

/// @brief Reads requests from one connection. Belongs to one thread.
class CallerReader {
 public:
  using Done = std::function<void(core::Result<HttpRequest>)>;

  CallerReader(boost::asio::io_context& context,
               boost::asio::ip::tcp::socket& socket,
               const CallerLimits& limits);
  CallerReader(const CallerReader&) = delete;
  CallerReader& operator=(const CallerReader&) = delete;
  ~CallerReader();

  /// @brief Reads one request. @pre none is being read
  /// @param done called with the request, or with an error to answer:
  /// kHeaderTooLarge, kBodyTooLarge, kSlowSender, kBadRequest
  /// @param on_closed called instead when there is nobody to answer
  void Read(Done done, std::function<void()> on_closed);
  /// @return whether the caller keeps the connection for another request
  bool keep_alive() const;
  /// @return whether the first byte of the request being read has come
  bool begun() const;
  /// @brief Forgets the callbacks; what is still being read is dropped.
  void Stop();

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_CALLER_READER_H_
