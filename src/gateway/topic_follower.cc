#include "coppervalve/gateway/topic_follower.h"

#include <algorithm>  // min
#include <utility>    // move

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

constexpr uint32_t kMostDoublings = 4;

}  // namespace

TopicFollower::TopicFollower(boost::asio::io_context& io,
                             FollowerOptions options,
                             const KeyedStore& store,
                             routing::RandomHook random,
                             Hooks hooks)
    : m_options(std::move(options)),
      m_store(store),
      m_random(std::move(random)),
      m_hooks(std::move(hooks)),
      m_timer(io) {}

void TopicFollower::ReadNewest() {
  m_has_newest = false;
  m_newest.clear();
  m_after.clear();
  ReadPage();
}

void TopicFollower::ReadPage() {
  m_began = net::BootNow();
  m_store.newest(
      m_options.topic, m_after,
      [self = shared_from_this()](const core::Result<NewestPage>& result) {
        self->OnPage(result);
      });
}

// A page that is turned away is asked for again, and those before it are kept:
// hundreds of routers that start at once would otherwise begin anew with each
// refusal and keep the store at its bound for good.
void TopicFollower::OnPage(const core::Result<NewestPage>& result) {
  if (!core::IsOk(result)) {
    Fail(core::Failure(result));
    return;
  }
  const NewestPage& page = core::Value(result);
  m_failures = 0;
  if (m_after.empty()) {
    // Only what came before the first page is known to be in all of them.
    m_next = page.end;
  }
  m_newest.insert(m_newest.end(), page.records.begin(), page.records.end());
  m_after = page.after;
  if (!m_after.empty()) {
    ReadPage();
    return;
  }
  m_has_newest = true;
  m_hooks.on_newest(m_newest);
  m_newest = {};
  m_hooks.on_read(m_next);
  ReadOn();
}

void TopicFollower::ReadOn() {
  m_pausing = false;
  m_began = net::BootNow();
  m_store.read(
      m_options.topic, m_next, m_options.wait,
      [self = shared_from_this()](const core::Result<RecordBatch>& result) {
        self->OnBatch(result);
      });
}

void TopicFollower::OnBatch(const core::Result<RecordBatch>& result) {
  if (!core::IsOk(result)) {
    if (core::Failure(result).id == core::ErrorId::kLogGap) {
      ReadNewest();
      return;
    }
    Fail(core::Failure(result));
    return;
  }
  const RecordBatch& batch = core::Value(result);
  m_failures = 0;
  m_next = batch.next;
  for (const KeyedRecord& record : batch.records) {
    m_hooks.on_record(record);
  }
  m_hooks.on_read(m_next);
  if (batch.records.empty()) {
    ReadOn();
    return;
  }
  m_pausing = true;
  const core::Duration usual = m_options.pause;
  const bool varies = usual > core::Duration::zero() && m_hooks.pause;
  After(varies ? m_hooks.pause(usual) : usual, &TopicFollower::ReadOn);
}

void TopicFollower::Hurry() {
  if (m_pausing) {
    After(core::Duration::zero(), &TopicFollower::ReadOn);
  }
}

// Without the random part all routers come back to a returning store at the
// same moments and are turned away together.
void TopicFollower::Fail(const core::Error& error) {
  m_hooks.on_failure(error, m_began);
  const auto factor = 1U << std::min(m_failures, kMostDoublings);
  ++m_failures;
  const core::Duration backoff =
      std::min(m_options.first_backoff * factor, m_options.longest_backoff);
  After(backoff / 2 + routing::UniformDuration(m_random, backoff),
        m_has_newest ? &TopicFollower::ReadOn : &TopicFollower::ReadPage);
}

void TopicFollower::After(core::Duration delay, void (TopicFollower::*step)()) {
  m_timer.expires_after(delay);
  m_timer.async_wait(
      [self = shared_from_this(), step](const boost::system::error_code& code) {
        if (!code) {
          (self.get()->*step)();
        }
      });
}

}  // namespace coppervalve::gateway
