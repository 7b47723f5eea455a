#include "coppervalve/gateway/read_barrier.h"

#include <utility>  // exchange, move

namespace coppervalve::gateway {

namespace {

// As long as a read may take. A caller that is refused can go to another
// router.
constexpr core::Duration kMaxRoundTime{800'000};

}  // namespace

ReadBarrier::ReadBarrier(boost::asio::io_context& io,
                         const KeyedStore& store,
                         std::string topic,
                         Hooks hooks)
    : m_store(store),
      m_topic(std::move(topic)),
      m_hooks(std::move(hooks)),
      m_timer(io) {}

// The end that a round in progress requested may be older than a caller's
// request, so it can't be shared.
void ReadBarrier::Wait(OnDone on_done) {
  m_arrived.push_back(std::move(on_done));
  if (!m_in_round) {
    StartRound();
  }
}

void ReadBarrier::StartRound() {
  m_in_round = true;
  m_end.reset();
  m_waiting = std::exchange(m_arrived, {});
  const uint64_t round = ++m_round;
  m_timer.expires_after(kMaxRoundTime);
  m_timer.async_wait(
      [weak = weak_from_this(), round](const boost::system::error_code& code) {
        const auto self = weak.lock();
        if (!code && self && self->m_in_round && self->m_round == round) {
          self->FinishRound(false);
        }
      });
  m_store.end(
      m_topic, kMaxRoundTime,
      [weak = weak_from_this(), round](const core::Result<uint64_t>& result) {
        const auto self = weak.lock();
        if (self && self->m_in_round && self->m_round == round) {
          self->OnEnd(result);
        }
      });
}

void ReadBarrier::OnEnd(const core::Result<uint64_t>& result) {
  m_hooks.on_call(core::IsOk(result));
  if (!core::IsOk(result)) {
    FinishRound(false);
    return;
  }
  m_end = core::Value(result);
  if (m_read_to >= *m_end) {
    FinishRound(true);
    return;
  }
  m_hooks.on_behind();
}

void ReadBarrier::OnRead(uint64_t next) {
  m_read_to = next;
  if (m_in_round && m_end && m_read_to >= *m_end) {
    FinishRound(true);
  }
}

// Those that arrived during a round without success are not made to wait for
// another one.
void ReadBarrier::FinishRound(bool passed) {
  m_in_round = false;
  m_timer.cancel();
  std::vector<OnDone> done = std::exchange(m_waiting, {});
  if (!passed) {
    for (OnDone& arrived : std::exchange(m_arrived, {})) {
      done.push_back(std::move(arrived));
    }
  }
  for (const OnDone& on_done : done) {
    on_done(passed);
  }
  if (!m_arrived.empty() && !m_in_round) {
    StartRound();
  }
}

}  // namespace coppervalve::gateway
