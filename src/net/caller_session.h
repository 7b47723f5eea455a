#ifndef COPPERVALVE_SRC_NET_CALLER_SESSION_H_
#define COPPERVALVE_SRC_NET_CALLER_SESSION_H_

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <functional>  // function
#include <memory>      // shared_ptr
#include <string>      // string

#include "caller_reader.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/net/answer_reader.h"
#include "coppervalve/net/caller_server.h"
#include "coppervalve/net/connection_registry.h"
#include "deadline.h"
#include "http_serializer.h"

namespace coppervalve::net {

/// @brief One connection of a caller or operator: reads requests and writes
/// their answers. Used only on one traffic thread.
///
/// The owner keeps it until `on_closed` is called.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(boost::asio::io_context& context,
                size_t thread,
                boost::asio::ip::tcp::socket socket,
                std::shared_ptr<const CallerHooks> hooks,
                const CallerLimits& limits,
                std::function<void()> on_closed);
  /// @brief Sets the entry that records what this connection holds.
  void SetEntry(std::shared_ptr<ConnectionRegistry::Entry> entry);
  CallerSession(const CallerSession&) = delete;
  CallerSession& operator=(const CallerSession&) = delete;
  ~CallerSession();

  void Run();
  /// @brief Closes once the request in progress, if any, is answered.
  void CloseWhenIdle();
  /// @brief Closes the connection, or refuses the request that is being
  /// received, because all connections exceed a limit.
  void EndForLimit(core::ConnectionLimit limit);
  /// @return whether bytes wait in the socket
  bool HasInput() const;

 private:
  using ErrorCode = boost::system::error_code;

  void Record(core::ConnectionStage stage, size_t bytes);
  void OnRequest(core::Result<HttpRequest> request);
  void Reject(const core::Error& error);

  void WatchForClose();
  void OnReadable();
  void Wake();
  void SendAvailable();
  bool SendHead(const Answer::Piece& piece);
  void SendStream(const Answer::Piece& piece);
  void WriteResponse(const HttpHead& head, const std::string& body);
  void Write(std::string bytes);
  void OnWritten(const ErrorCode& error);
  void EndExchange();
  void HandleDisconnect();

  void CloseGracefully();
  void DiscardInput();
  void Close();

  boost::asio::io_context& m_context;
  const size_t m_thread;
  boost::asio::ip::tcp::socket m_socket;
  const std::shared_ptr<const CallerHooks> m_hooks;
  const CallerLimits m_limits;
  std::function<void()> m_on_closed;
  std::shared_ptr<ConnectionRegistry::Entry> m_entry;
  Deadline m_deadline;
  CallerReader m_reader;

  // The request in progress.
  bool m_busy = false;
  core::RequestId m_request;
  std::unique_ptr<AnswerReader> m_answer;
  ResponseOptions m_options;
  bool m_http_1_0 = false;
  bool m_head_sent = false;
  HttpHead m_head;
  std::string m_body;
  bool m_ends_exchange =
      false;                 // the current write is the last of the exchange
  bool m_truncated = false;  // the answer ended incomplete
  bool m_writing = false;
  std::string m_out;

  bool m_watching = false;
  bool m_closing = false;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_CALLER_SESSION_H_
