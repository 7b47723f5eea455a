#include "platform_watch.h"

#include <google/protobuf/util/json_util.h>

#include <boost/asio/steady_timer.hpp>
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <utility>        // move

#include "http_channel.h"
#include "upstream_load.h"

namespace coppervalve::net {

namespace {

constexpr unsigned kOk = 200;
constexpr size_t kMaxListBytes = size_t{4} * 1024 * 1024;
constexpr size_t kMaxHealthBytes = size_t{64} * 1024;

HttpRequest Get(std::string target) {
  HttpRequest request;
  request.method = "GET";
  request.target = std::move(target);
  return request;
}

std::optional<v1::VmList> ParseList(const core::Result<HttpReply>& result) {
  if (!core::IsOk(result) || core::Value(result).head.status != kOk) {
    return std::nullopt;
  }
  // Unknown fields are the platform's business: it may add some at any time.
  google::protobuf::util::JsonParseOptions options;
  options.ignore_unknown_fields = true;
  v1::VmList list;
  const auto status = google::protobuf::util::JsonStringToMessage(
      core::Value(result).body, &list, options);
  if (!status.ok()) {
    return std::nullopt;
  }
  return list;
}

}  // namespace

struct PlatformWatch::Impl : std::enable_shared_from_this<PlatformWatch::Impl> {
  Impl(boost::asio::io_context& a_context,
       const ShellSettings& a_settings,
       EventSink a_report)
      : context(a_context),
        settings(a_settings),
        report(std::move(a_report)),
        timer(a_context),
        list(a_context, a_settings.vm_list_address, kMaxListBytes) {}

  void AskForList() {
    list.Call(Get("/vms"), settings.vm_list_interval,
              [weak = weak_from_this()](const core::Result<HttpReply>& result) {
                const auto self = weak.lock();
                if (!self) {
                  return;
                }
                // Without an answer the core keeps the last list, which is late
                // anyway.
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
            self->AskForList();
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
    probes.erase(id);
    report(std::move(ended));
  }

  boost::asio::io_context& context;
  const ShellSettings& settings;
  const EventSink report;
  boost::asio::steady_timer timer;
  HttpChannel list;
  size_t next_probe = 0;
  std::unordered_map<size_t, std::unique_ptr<HttpChannel>> probes;
};

PlatformWatch::PlatformWatch(boost::asio::io_context& context,
                             const ShellSettings& settings,
                             EventSink report)
    : m_impl(std::make_shared<Impl>(context, settings, std::move(report))) {}

PlatformWatch::~PlatformWatch() = default;

void PlatformWatch::Start() {
  if (!m_impl->settings.vm_list_address.empty()) {
    m_impl->AskForList();
  }
}

void PlatformWatch::Probe(const router::ProbeUpstream& action) {
  // A connection of its own for each probe: a kept one might be dead in the
  // middle while new ones work, and the probe is to judge the upstream.
  const size_t id = m_impl->next_probe++;
  auto& channel = m_impl->probes[id];
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

}  // namespace coppervalve::net
