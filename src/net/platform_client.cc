#include "platform_client.h"

#include <boost/asio/steady_timer.hpp>
#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <utility>        // move

#include "http_channel.h"
#include "upstream_load.h"
#include "vm_list.h"

namespace coppervalve::net {

namespace {

constexpr unsigned kOk = 200;
constexpr unsigned kRedirect = 300;
constexpr unsigned kBadRequest = 400;
constexpr unsigned kRequestTimeout = 408;
constexpr unsigned kServerError = 500;
constexpr size_t kMaxListBytes = size_t{4} * 1024 * 1024;
constexpr size_t kMaxOrderReplyBytes = size_t{64} * 1024;
constexpr size_t kMaxHealthBytes = size_t{64} * 1024;

HttpRequest Get(std::string target) {
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(target);
  return request;
}

HttpRequest PostOf(const router::SendOrder& action) {
  boost::json::object body{{"fencing", action.fencing.value()}};
  const v1::OrderIssued& order = action.order;
  if (order.has_load_model()) {
    body["load_model"] = order.load_model();
  } else if (order.has_load_adapter()) {
    body["load_adapter"] = order.load_adapter();
  } else if (order.has_change_role()) {
    body["change_role"] = order.change_role();
  }
  HttpRequest request;
  request.method = "POST";
  request.target = "/admin/order";
  request.headers = {{"content-type", "application/json"}};
  request.body = boost::json::serialize(body);
  return request;
}

orders::SendOutcome OutcomeOf(const core::Result<HttpReply>& result,
                              bool sent) {
  if (!core::IsOk(result)) {
    return sent ? orders::SendOutcome::kUnknown : orders::SendOutcome::kNotSent;
  }
  const unsigned status = core::Value(result).head.status;
  if (status >= kOk && status < kRedirect) {
    return orders::SendOutcome::kDone;
  }
  // The engine may have started before it sent a 408 or 5xx; other 4xx mean
  // that it refused the order.
  return status >= kBadRequest && status < kServerError &&
                 status != kRequestTimeout
             ? orders::SendOutcome::kRefused
             : orders::SendOutcome::kUnknown;
}

std::optional<v1::VmList> ParseList(const core::Result<HttpReply>& result) {
  if (!core::IsOk(result) || core::Value(result).head.status != kOk) {
    return std::nullopt;
  }
  return ReadVmList(core::Value(result).body);
}

}  // namespace

struct PlatformClient::Impl
    : std::enable_shared_from_this<PlatformClient::Impl> {
  Impl(boost::asio::io_context& a_context,
       const ShellSettings& a_settings,
       EventSink a_report)
      : context(a_context),
        settings(a_settings),
        report(std::move(a_report)),
        timer(a_context),
        list(a_context, a_settings.vm_list_address, kMaxListBytes) {}

  void RequestList() {
    list.Call(Get("/vms"), settings.vm_list_interval,
              [weak = weak_from_this()](const core::Result<HttpReply>& result) {
                const auto self = weak.lock();
                if (!self) {
                  return;
                }
                // A failed poll is not reported: the core keeps the last
                // list, which may lag behind in any case.
                if (auto vms = ParseList(result)) {
                  self->report(router::VmListRead{std::move(*vms)});
                }
                self->Wait();
              });
  }

  void Wait() {
    timer.expires_after(settings.vm_list_interval);
    timer.async_wait(
        [weak = weak_from_this()](const boost::system::error_code& error) {
          const auto self = weak.lock();
          if (self && !error) {
            self->RequestList();
          }
        });
  }

  void EndProbe(size_t id,
                const core::UpstreamId& upstream,
                const core::Result<HttpReply>& result) {
    router::ProbeEnded ended{upstream, false, std::nullopt};
    if (core::IsOk(result)) {
      const HttpHead& head = core::Value(result).head;
      ended.healthy = head.status == kOk;
      ended.load = LoadOf(head.headers);
    }
    calls.erase(id);
    report(std::move(ended));
  }

  void EndOrder(size_t id,
                const router::SendOrder& action,
                const core::Result<HttpReply>& result) {
    const auto outcome = OutcomeOf(result, calls.at(id)->sent());
    calls.erase(id);
    report(router::OrderSent{action.upstream, action.fencing, outcome});
  }

  boost::asio::io_context& context;
  const ShellSettings& settings;
  const EventSink report;
  boost::asio::steady_timer timer;
  HttpChannel list;
  size_t next_call = 0;
  std::unordered_map<size_t, std::unique_ptr<HttpChannel>> calls;
};

PlatformClient::PlatformClient(boost::asio::io_context& context,
                               const ShellSettings& settings,
                               EventSink report)
    : m_impl(std::make_shared<Impl>(context, settings, std::move(report))) {}

PlatformClient::~PlatformClient() = default;

void PlatformClient::Start() {
  if (!m_impl->settings.vm_list_address.empty()) {
    m_impl->RequestList();
  }
}

void PlatformClient::Probe(const router::ProbeUpstream& action) {
  // Each probe uses a new connection: a reused one may have gone silent on the
  // network while new ones work, which would be mistaken for a failure of the
  // upstream.
  const size_t id = m_impl->next_call++;
  auto& channel = m_impl->calls[id];
  channel = std::make_unique<HttpChannel>(m_impl->context, action.address,
                                          kMaxHealthBytes);
  channel->Call(
      Get("/health"), m_impl->settings.probe_timeout,
      [weak = m_impl->weak_from_this(), id,
       upstream = action.upstream](const core::Result<HttpReply>& result) {
        if (const auto self = weak.lock()) {
          self->EndProbe(id, upstream, result);
        }
      });
}

void PlatformClient::Send(const router::SendOrder& action) {
  const size_t id = m_impl->next_call++;
  auto& channel = m_impl->calls[id];
  channel = std::make_unique<HttpChannel>(m_impl->context, action.address,
                                          kMaxOrderReplyBytes);
  channel->Call(PostOf(action), m_impl->settings.order_timeout,
                [weak = m_impl->weak_from_this(), id,
                 action](const core::Result<HttpReply>& result) {
                  if (const auto self = weak.lock()) {
                    self->EndOrder(id, action, result);
                  }
                });
}

}  // namespace coppervalve::net
