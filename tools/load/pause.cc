#include "tools/load/pause.h"

#include <boost/asio/as_tuple.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

namespace coppervalve::load {

namespace asio = boost::asio;

asio::awaitable<void> PauseUntil(Clock::time_point time) {
  asio::steady_timer timer(co_await asio::this_coro::executor, time);
  co_await timer.async_wait(asio::as_tuple(asio::use_awaitable));
}

asio::awaitable<void> PauseFor(Clock::duration time) {
  return PauseUntil(Clock::now() + time);
}

}  // namespace coppervalve::load
