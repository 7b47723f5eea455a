#ifndef COPPERVALVE_SRC_NET_PLATFORM_CLIENT_H_
#define COPPERVALVE_SRC_NET_PLATFORM_CLIENT_H_

#include <boost/asio/io_context.hpp>
#include <memory>  // shared_ptr

#include "coppervalve/net/control_loop.h"
#include "coppervalve/net/shell_settings.h"
#include "coppervalve/router/events.h"

namespace coppervalve::net {

/// @brief Polls the VM list, probes upstreams and sends them orders. Not
/// thread-safe; reports VmListRead, ProbeEnded and OrderSent.
class PlatformClient {
 public:
  PlatformClient(boost::asio::io_context& context,
                 const ShellSettings& settings,
                 EventSink report);
  PlatformClient(const PlatformClient&) = delete;
  PlatformClient& operator=(const PlatformClient&) = delete;
  ~PlatformClient();

  /// @brief Starts polling the VM list, if its address is set.
  void Start();
  void Probe(const router::ProbeUpstream& action);
  void Send(const router::SendOrder& action);

 private:
  struct Impl;
  std::shared_ptr<Impl> m_impl;
};

}  // namespace coppervalve::net

#endif  // COPPERVALVE_SRC_NET_PLATFORM_CLIENT_H_
