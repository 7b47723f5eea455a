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

/// @brief How the sending of a request ended.
enum class SendEnd {
  kSent,
  kNotSent,  ///< no byte was given to the kernel
  kBroken,   ///< some bytes were: the upstream may have the request
};

/// @brief The connection of one attempt, new or reused, with its watchdog.
/// Belongs to one thread.
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

  /// @brief Sends a request once. On success the watchdog stays armed with what
  /// is left of `answer_timeout`.
  /// @param wire must live until `done`
  void Send(const std::string& wire,
            std::chrono::microseconds connect_timeout,
            std::chrono::microseconds answer_timeout,
            Done done);

  boost::asio::ip::tcp::socket& socket() { return m_socket; }
  /// @brief Closes the connection after this time, unless armed again.
  void SetTimeout(std::chrono::microseconds after);
  void ClearTimeout() { m_deadline.Disarm(); }
  bool expired() const { return m_deadline.expired(); }
  /// @brief The error, or that the time ran out.
  std::string DescribeError(ErrorCode error) const;

  /// @brief Ends the use; nothing is called back any more.
  void Close();
  /// @brief Leaves the connection to later attempts. @pre the answer has ended
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
