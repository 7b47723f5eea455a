#include "tools/load/address_list.h"

#include <boost/json/array.hpp>
#include <chrono>   // milliseconds
#include <utility>  // move

#include "tools/load/http_exchange.h"
#include "tools/load/json.h"
#include "tools/load/pause.h"

namespace coppervalve::load {

namespace {

namespace asio = boost::asio;
using std::chrono::milliseconds;

constexpr unsigned kHttpOk = 200;
constexpr milliseconds kQueryTimeout{1'000};
constexpr milliseconds kRefreshPollInterval{5};
// When all addresses fail, callers must not query the routers continuously.
constexpr milliseconds kMinRefreshInterval{250};
constexpr int64_t kDefaultLifetimeMs = 1'000;

}  // namespace

AddressList::AddressList(std::vector<std::string> routers,
                         std::string api_key,
                         size_t first_router)
    : m_routers(std::move(routers)),
      m_api_key(std::move(api_key)),
      m_next_router(first_router) {}

asio::awaitable<std::optional<FleetAddress>> AddressList::AddressFor(
    size_t attempt) {
  const Clock::time_point now = Clock::now();
  const bool all_failed = attempt > 0 && !m_addresses.empty() &&
                          attempt % m_addresses.size() == 0 &&
                          now - m_refreshed_at > kMinRefreshInterval;
  if (now >= m_expires_at || all_failed) {
    co_await Refresh();
  }
  if (m_addresses.empty()) {
    co_return std::nullopt;
  }
  co_return m_addresses[attempt % m_addresses.size()];
}

asio::awaitable<void> AddressList::Refresh() {
  if (m_refreshing) {
    while (m_refreshing) {
      co_await PauseFor(kRefreshPollInterval);
    }
    co_return;
  }
  m_refreshing = true;
  m_refreshed_at = Clock::now();
  for (size_t tried = 0; tried < m_routers.size(); ++tried) {
    const std::string& router = m_routers[m_next_router % m_routers.size()];
    if (co_await QueryRouter(router)) {
      break;
    }
    ++m_next_router;
  }
  m_refreshing = false;
}

asio::awaitable<bool> AddressList::QueryRouter(std::string router) {
  ExchangeCall call;
  call.address = std::move(router);
  call.target = "/v1/addresses";
  call.headers = {{"Authorization", "Bearer " + m_api_key}};
  call.timeout = kQueryTimeout;
  const ExchangeReply reply = co_await Exchange(std::move(call));
  if (reply.result != ExchangeResult::kComplete || reply.status != kHttpOk) {
    co_return false;
  }
  const auto document = ParseJson(reply.body);
  const boost::json::object* object =
      document ? document->if_object() : nullptr;
  const boost::json::array* list =
      object == nullptr ? nullptr : ArrayMember(*object, "addresses");
  if (list == nullptr || list->empty()) {
    co_return false;
  }
  m_addresses.clear();
  for (const boost::json::value& item : *list) {
    if (item.is_object()) {
      m_addresses.push_back({StringMember(item.get_object(), "address"),
                             StringMember(item.get_object(), "key_prefix")});
    }
  }
  m_expires_at =
      Clock::now() +
      milliseconds(NumberMember(*object, "lifetime_ms", kDefaultLifetimeMs));
  co_return true;
}

}  // namespace coppervalve::load
