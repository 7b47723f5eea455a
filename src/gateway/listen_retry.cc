#include "coppervalve/gateway/listen_retry.h"

#include <chrono>   // milliseconds, seconds
#include <utility>  // exchange, move

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

constexpr std::chrono::milliseconds kRetryInterval{100};
constexpr std::chrono::seconds kReportInterval{10};

}  // namespace

ListenRetry::ListenRetry(boost::asio::io_context& io, Hooks hooks)
    : m_timer(io), m_hooks(std::move(hooks)) {}

core::Status ListenRetry::Open(Port port) {
  core::Status opened = port.open();
  if (core::IsOk(opened)) {
    port.on_open();
    return opened;
  }
  const core::Error& error = core::Failure(opened);
  m_hooks.on_failure(port, error);
  if (error.id != core::ErrorId::kAddressUnavailable) {
    return opened;
  }
  const core::TimePoint now = net::BootNow();
  m_pending.push_back({std::move(port), error, now, now});
  if (m_pending.size() == 1) {
    Schedule();
  }
  return core::Ok();
}

void ListenRetry::Schedule() {
  m_timer.expires_after(kRetryInterval);
  m_timer.async_wait([this](const boost::system::error_code& code) {
    if (!code) {
      RetryAll();
    }
  });
}

// What is called on opening may ask for further ports.
void ListenRetry::RetryAll() {
  std::vector<Pending> pending = std::exchange(m_pending, {});
  std::erase_if(pending, [this](Pending& one) { return Retry(one); });
  m_pending.insert(m_pending.end(), pending.begin(), pending.end());
  if (!m_pending.empty()) {
    Schedule();
  }
}

// @return whether the port is open now
bool ListenRetry::Retry(Pending& pending) {
  const core::Status opened = pending.port.open();
  if (core::IsOk(opened)) {
    m_hooks.on_late_open(pending.port, net::BootNow() - pending.since);
    pending.port.on_open();
    return true;
  }
  const core::TimePoint now = net::BootNow();
  if (core::Failure(opened) != pending.error ||
      now - pending.reported_at >= kReportInterval) {
    pending.error = core::Failure(opened);
    pending.reported_at = now;
    m_hooks.on_failure(pending.port, pending.error);
  }
  return false;
}

}  // namespace coppervalve::gateway
