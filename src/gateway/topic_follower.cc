#include "coppervalve/gateway/topic_follower.h"

#include <unordered_map>  // unordered_map
#include <utility>        // move

#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

TopicFollower::TopicFollower(boost::asio::io_context& io,
                             FollowerOptions options,
                             const KeyedStore& store,
                             routing::RandomSource random,
                             Hooks hooks)
    : m_options(std::move(options)),
      m_store(store),
      m_random(std::move(random)),
      m_hooks(std::move(hooks)),
      m_timer(io),
      m_plan(m_options.plan) {}

void TopicFollower::ReadNewest() {
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
  if (m_after.empty()) {
    // Only what came before the first page is known to be in all of them.
    m_end = page.end;
  }
  m_newest.insert(m_newest.end(), page.records.begin(), page.records.end());
  m_after = page.after;
  if (!m_after.empty()) {
    m_plan.OnPage(net::BootNow());
    ReadPage();
    return;
  }
  const entry::ReadStep step =
      m_plan.OnNewest(m_newest.size(), m_end, net::BootNow());
  m_hooks.on_newest(m_newest);
  m_newest = {};
  m_hooks.on_read(m_end);
  Take(step);
}

void TopicFollower::ReadOn() {
  m_pausing = false;
  m_began = net::BootNow();
  m_store.read(
      m_options.topic, m_plan.next(),
      {m_options.wait, m_options.plan.most_bytes},
      [self = shared_from_this()](const core::Result<RecordBatch>& result) {
        self->OnBatch(result);
      });
}

void TopicFollower::OnBatch(const core::Result<RecordBatch>& result) {
  if (!core::IsOk(result)) {
    if (core::Failure(result).id == core::ErrorId::kLogGap) {
      Take(m_plan.OnGap());
      return;
    }
    Fail(core::Failure(result));
    return;
  }
  const RecordBatch& batch = core::Value(result);
  HandOn(batch.records);
  m_hooks.on_read(batch.next);
  const core::Duration usual = m_options.plan.pause;
  const bool varies = usual > core::Duration::zero() && m_hooks.pause;
  Take(m_plan.OnBatch(batch.records.empty(), batch.next, batch.end,
                      varies ? m_hooks.pause(usual) : usual, net::BootNow()));
}

// A configuration costs a small VM tens of milliseconds to read: of several
// that come together all but the newest would be read for nothing.
void TopicFollower::HandOn(const std::vector<KeyedRecord>& records) {
  if (!m_options.plan.only_newest_matters) {
    for (const KeyedRecord& record : records) {
      m_hooks.on_record(record);
    }
    return;
  }
  std::unordered_map<std::string, uint64_t> newest;
  for (const KeyedRecord& record : records) {
    newest[record.key] = record.offset;
  }
  for (const KeyedRecord& record : records) {
    if (newest.at(record.key) == record.offset) {
      m_hooks.on_record(record);
    }
  }
}

void TopicFollower::Hurry() {
  if (m_pausing) {
    After(core::Duration::zero(), &TopicFollower::ReadOn);
  }
}

void TopicFollower::Fail(const core::Error& error) {
  m_hooks.on_failure(error, m_began);
  constexpr uint64_t kSteps = 1'000'000;
  const double draw =
      static_cast<double>(routing::UniformBelow(m_random, kSteps)) / kSteps;
  Take(m_plan.OnFailure(draw, m_began, net::BootNow()));
}

void TopicFollower::Wake() {
  if (m_stopped) {
    m_stopped = false;
    Start();
  }
}

void TopicFollower::Take(const entry::ReadStep& step) {
  if (m_hooks.wanted && !m_hooks.wanted()) {
    m_stopped = true;
    m_pausing = false;
    m_hooks.on_stopped();
    return;
  }
  m_pausing = step.pausing;
  switch (step.call) {
    case entry::ReadStep::Call::kFirstPage:
      After(step.delay, &TopicFollower::ReadNewest);
      return;
    case entry::ReadStep::Call::kSamePage:
      After(step.delay, &TopicFollower::ReadPage);
      return;
    case entry::ReadStep::Call::kRecords:
      After(step.delay, &TopicFollower::ReadOn);
      return;
  }
}

// Without a delay the call is made at once: a wait for nothing is a wake-up.
void TopicFollower::After(core::Duration delay, void (TopicFollower::*step)()) {
  if (delay == core::Duration::zero()) {
    m_timer.cancel();
    (this->*step)();
    return;
  }
  m_timer.expires_after(delay);
  m_timer.async_wait(
      [self = shared_from_this(), step](const boost::system::error_code& code) {
        if (!code) {
          (self.get()->*step)();
        }
      });
}

}  // namespace coppervalve::gateway
