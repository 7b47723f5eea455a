#include "coppervalve/gateway/topic_follower.h"

#include <algorithm>      // max
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

void TopicFollower::Start() {
  ScheduleStep(m_plan.OnOffsetExpired(net::BootNow()));
}

void TopicFollower::ReadNewest() {
  m_newest.clear();
  m_after.clear();
  ReadPage();
}

void TopicFollower::BeginCall(std::string_view kind) {
  m_call = {kind, net::BootNow()};
  m_calling = true;
}

core::Duration TopicFollower::CallTime(core::TimePoint now) const {
  return m_calling ? now - m_call.began : core::Duration::zero();
}

void TopicFollower::ReadPage() {
  BeginCall("page");
  m_store.newest(
      m_options.topic, m_after, m_patience,
      [self = shared_from_this()](const core::Result<NewestPage>& result) {
        if (!self->m_closed) {
          self->OnPage(result);
        }
      });
}

// A rejected page is requested again and the pages before it are kept. If
// hundreds of routers that start together began a new listing after each
// rejection, they would keep the store at its rate limit for good.
void TopicFollower::OnPage(const core::Result<NewestPage>& result) {
  m_calling = false;
  if (!core::IsOk(result)) {
    HandleFailure(core::Failure(result));
    return;
  }
  const NewestPage& page = core::Value(result);
  if (m_after.empty()) {
    // Only records from before the first page are certain to be covered by the
    // pages.
    m_listed_to = {page.end, page.end, m_call.began};
  }
  m_newest.insert(m_newest.end(), page.records.begin(), page.records.end());
  m_after = page.after;
  if (m_hooks.on_page) {
    m_hooks.on_page(m_newest.size());
  }
  if (!m_after.empty()) {
    m_plan.OnPage(net::BootNow());
    if (StopIfNotNeeded()) {
      return;
    }
    ReadPage();
    return;
  }
  NoteRecords(m_newest);
  UpdateSpread();
  const entry::ReadStep step =
      m_plan.OnNewest(m_newest.size(), m_listed_to.next, net::BootNow());
  m_hooks.on_newest(m_newest);
  m_newest = {};
  m_hooks.on_read(m_listed_to);
  ScheduleStep(step);
}

void TopicFollower::ReadBatch() {
  m_pausing_between_reads = false;
  BeginCall("records");
  m_store.read(
      m_options.topic, m_plan.next(),
      {m_options.wait, m_options.plan.max_bytes, m_patience},
      [self = shared_from_this()](const core::Result<RecordBatch>& result) {
        if (!self->m_closed) {
          self->OnBatch(result);
        }
      });
}

// A read of records always returns at least one, so a page without any is read.
void TopicFollower::Peek() {
  BeginCall("end");
  m_store.newest(
      m_options.topic, kAfterAllKeys, m_patience,
      [self = shared_from_this()](const core::Result<NewestPage>& result) {
        if (!self->m_closed) {
          self->OnPeek(result);
        }
      });
}

void TopicFollower::OnPeek(const core::Result<NewestPage>& result) {
  m_calling = false;
  if (!core::IsOk(result)) {
    HandleFailure(core::Failure(result));
    return;
  }
  const uint64_t end = core::Value(result).end;
  m_hooks.on_end({m_plan.next(), end, m_call.began});
  UpdateSpread();
  ScheduleStep(m_plan.OnPeek(end, net::BootNow()));
}

void TopicFollower::OnBatch(const core::Result<RecordBatch>& result) {
  m_calling = false;
  if (!core::IsOk(result)) {
    if (core::Failure(result).id == core::ErrorId::kLogGap) {
      UpdateSpread();
      ScheduleStep(m_plan.OnOffsetExpired(net::BootNow()));
      return;
    }
    HandleFailure(core::Failure(result));
    return;
  }
  const RecordBatch& batch = core::Value(result);
  NoteRecords(batch.records);
  UpdateSpread();
  Deliver(batch.records);
  m_hooks.on_read({batch.next, batch.end, AnsweredAfter(batch)});
  const core::Duration usual = m_options.plan.pause;
  const bool varies = usual > core::Duration::zero() && m_hooks.pause;
  ScheduleStep(m_plan.OnBatch(batch.records.empty(), batch.next, batch.end,
                              varies ? m_hooks.pause(usual) : usual,
                              net::BootNow()));
}

// Without a record, the store answers a long poll only at the end of its wait.
core::TimePoint TopicFollower::AnsweredAfter(const RecordBatch& batch) const {
  const core::TimePoint wait_over = m_call.began + m_options.wait;
  const bool waited = batch.records.empty() && net::BootNow() >= wait_over;
  return waited ? wait_over : m_call.began;
}

// Parsing a configuration takes tens of milliseconds on a small VM. When
// several arrive together, only the newest one is delivered, since it replaces
// the earlier ones.
void TopicFollower::Deliver(const std::vector<KeyedRecord>& records) {
  if (!m_options.plan.newest_only) {
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

void TopicFollower::Expedite() {
  if (m_pausing_between_reads) {
    RunAfter(core::Duration::zero(), &TopicFollower::ReadBatch);
  }
}

void TopicFollower::HandleFailure(const core::Error& error) {
  m_plan.SetCrowded(m_hooks.crowded && m_hooks.crowded());
  m_hooks.on_failure(error, m_call);
  ScheduleStep(m_plan.OnFailure(routing::UniformFraction(m_random),
                                m_call.began, net::BootNow()));
}

void TopicFollower::NoteRecords(const std::vector<KeyedRecord>& records) {
  for (const KeyedRecord& record : records) {
    m_largest = std::max(m_largest, record.value.size());
  }
}

void TopicFollower::UpdateSpread() {
  if (m_hooks.spread) {
    m_plan.SetSpread(m_hooks.spread(m_largest),
                     routing::UniformFraction(m_random));
  }
}

void TopicFollower::Close() {
  m_closed = true;
  m_timer.cancel();
}

void TopicFollower::Resume() {
  if (m_stopped) {
    m_stopped = false;
    Start();
  }
}

bool TopicFollower::StopIfNotNeeded() {
  if (!m_hooks.needed || m_hooks.needed()) {
    return false;
  }
  m_stopped = true;
  m_pausing_between_reads = false;
  m_hooks.on_stopped();
  return true;
}

void TopicFollower::ScheduleStep(const entry::ReadStep& step) {
  if (StopIfNotNeeded()) {
    return;
  }
  m_pausing_between_reads = step.interruptible;
  m_patience = step.patience;
  switch (step.call) {
    case entry::ReadStep::Call::kFirstNewestPage:
      RunAfter(step.delay, &TopicFollower::ReadNewest);
      return;
    case entry::ReadStep::Call::kRepeatPage:
      RunAfter(step.delay, &TopicFollower::ReadPage);
      return;
    case entry::ReadStep::Call::kRecords:
      RunAfter(step.delay, &TopicFollower::ReadBatch);
      return;
    case entry::ReadStep::Call::kPeek:
      RunAfter(step.delay, &TopicFollower::Peek);
      return;
  }
}

// Without a delay the step runs immediately: a zero timer would cost an extra
// wake-up.
void TopicFollower::RunAfter(core::Duration delay,
                             void (TopicFollower::*step)()) {
  if (delay == core::Duration::zero()) {
    m_timer.cancel();
    (this->*step)();
    return;
  }
  m_timer.expires_after(delay);
  m_timer.async_wait(
      [self = shared_from_this(), step](const boost::system::error_code& code) {
        if (!code && !self->m_closed) {
          (self.get()->*step)();
        }
      });
}

}  // namespace coppervalve::gateway
