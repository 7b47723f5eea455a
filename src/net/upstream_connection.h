#ifndef COPPERVALVE_SRC_NET_UPSTREAM_CONNECTION_H_
#define COPPERVALVE_SRC_NET_UPSTREAM_CONNECTION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>      // microseconds
#include <functional>  // function
#include <memory>      // shared_ptr
#include <string>      // string

#include "deadline.h"
#include "upstream_pool.h"

namespace coppervalve::net {

/// @brief Result of sending a request.
enum class SendEnd {
  kSent,
  kNotSent,  ///< the kernel accepted no byte
  kBroken,   ///< some bytes were accepted: the upstream may have the request
};

/// @brief The connection of one attempt, new or reused, with its timeout. Not
/// thread-safe.
class UpstreamConnection
    : public std::enable_shared_from_this<UpstreamConnection> {
 public:
  using ErrorCode = boost::system::error_code;
  using Done = std::function<void(SendEnd end, ErrorCode error)>;

  UpstreamConnection(boost::asio::io_context& context,
                     UpstreamPool& pool,
                     std::string address);
  UpstreamConnection(const UpstreamConnection&) = delete;
  UpstreamConnection& operator=(const UpstreamConnection&) = delete;
  ~UpstreamConnection() = default;

  /// @brief Sends a request once. On success the timeout stays armed with the
  /// rest of `answer_timeout`.
  /// @param wire must stay valid until `done` is called
  void Send(const std::string& wire,
            std::chrono::microseconds connect_timeout,
            std::chrono::microseconds answer_timeout,
            Done done);

  boost::asio::ip::tcp::socket& socket() { return m_socket; }
  /// @brief Closes the connection after this time, unless the timeout is set
  /// again or cleared.
  void SetTimeout(std::chrono::microseconds after);
  void ClearTimeout() { m_deadline.Disarm(); }
  bool expired() const { return m_deadline.expired(); }
  /// @brief The text of the error, or "timeout".
  std::string DescribeError(ErrorCode error) const;

  /// @brief Closes the connection; no callback is called afterwards.
  void Close();
  /// @brief Returns the connection to the pool. @pre the answer has ended
  void ReleaseToPool();

 private:
  void Connect();
  void Write();
  void OnWritten(ErrorCode error, size_t written);
  void End(SendEnd end, ErrorCode error);
  void CloseSocket();

  UpstreamPool& m_pool;
  const std::string m_address;
  boost::asio::ip::tcp::socket m_socket;
  Deadline m_deadline;
  bool m_reused = false;
  const std::string* m_wire = nullptr;
  std::chrono::microseconds m_connect_timeout{};
  std::chrono::microseconds m_answer_timeout{};
  Done m_done;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_UPSTREAM_CONNECTION_H_
