#ifndef COPPERVALVE_SRC_NET_LOG_TRANSPORT_H_
#define COPPERVALVE_SRC_NET_LOG_TRANSPORT_H_

#include <boost/asio/io_context.hpp>
#include <memory>  // unique_ptr

#include "coppervalve/net/control_loop.h"
#include "coppervalve/net/shell_settings.h"
#include "coppervalve/router/events.h"

namespace coppervalve::net {

/// @brief Client of the platform's log service. Not thread-safe; reports
/// LogRead, LogReadFailed, LogAppended and LogAppendFailed.
class LogTransport {
 public:
  LogTransport(boost::asio::io_context& context,
               const ShellSettings& settings,
               EventSink report);
  LogTransport(const LogTransport&) = delete;
  LogTransport& operator=(const LogTransport&) = delete;
  ~LogTransport();

  /// @pre no read is outstanding
  void Read(const router::ReadLog& action);
  /// @pre no append is outstanding
  void Append(const router::AppendLog& action);

 private:
  struct Impl;
  std::unique_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_LOG_TRANSPORT_H_
