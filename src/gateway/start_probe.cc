#include "coppervalve/gateway/start_probe.h"

#include <chrono>   // milliseconds
#include <utility>  // move

#include "coppervalve/entry/heartbeat_parser.h"
#include "coppervalve/net/clock.h"

namespace coppervalve::gateway {

namespace {

constexpr core::Duration kPatience{800'000};
// Several of the last records are from active routers.
constexpr uint64_t kTailRecords = 64;
constexpr size_t kTailBytes = 32'768;
constexpr std::chrono::milliseconds kCountingTime{500};
constexpr core::Duration kRetryDelay{200'000};

}  // namespace

StartProbe::StartProbe(boost::asio::io_context& io,
                       const KeyedStore& store,
                       std::string topic,
                       routing::RandomSource random,
                       Hooks hooks)
    : m_store(store),
      m_topic(std::move(topic)),
      m_random(std::move(random)),
      m_hooks(std::move(hooks)),
      m_timer(io) {}

void StartProbe::Start() {
  ReadEnd(&StartProbe::OnFirstEnd);
}

// Without an answer a start can't go on anyway. If it did not ask again, all
// routers would begin to read at the moment when the store returns.
void StartProbe::ReadEnd(void (StartProbe::*on_end)(uint64_t end)) {
  m_store.newest(m_topic, kAfterAllKeys, kPatience,
                 [self = shared_from_this(),
                  on_end](const core::Result<NewestPage>& result) {
                   if (core::IsOk(result)) {
                     (self.get()->*on_end)(core::Value(result).end);
                     return;
                   }
                   self->RunAfter(
                       kRetryDelay / 2 + routing::UniformDuration(
                                             self->m_random, kRetryDelay),
                       [self, on_end] { self->ReadEnd(on_end); });
                 });
}

void StartProbe::RunAfter(core::Duration delay, std::function<void()> step) {
  m_timer.expires_after(delay);
  m_timer.async_wait(
      [step = std::move(step)](const boost::system::error_code& code) {
        if (!code) {
          step();
        }
      });
}

void StartProbe::OnFirstEnd(uint64_t end) {
  m_first_end = end;
  if (end == 0) {
    m_hooks.on_done(m_result);
    return;
  }
  const uint64_t from = end > kTailRecords ? end - kTailRecords : 0;
  m_store.read(
      m_topic, from, {core::Duration::zero(), kTailBytes, kPatience},
      [self = shared_from_this()](const core::Result<RecordBatch>& result) {
        self->OnTail(result);
      });
}

void StartProbe::OnTail(const core::Result<RecordBatch>& result) {
  if (core::IsOk(result)) {
    for (const KeyedRecord& record : core::Value(result).records) {
      const auto beat = entry::ParseHeartbeat(record.value);
      if (core::IsOk(beat) && core::Value(beat).has_fleet()) {
        m_result.facts = core::Value(beat).fleet();
      }
    }
  }
  if (!m_hooks.counts(m_result.facts)) {
    m_hooks.on_done(m_result);
    return;
  }
  m_counting_since = net::BootNow();
  RunAfter(kCountingTime, [self = shared_from_this()] {
    self->ReadEnd(&StartProbe::OnSecondEnd);
  });
}

void StartProbe::OnSecondEnd(uint64_t end) {
  const double seconds =
      std::chrono::duration<double>(net::BootNow() - m_counting_since).count();
  m_result.heartbeats_per_second =
      static_cast<double>(end - m_first_end) / seconds;
  m_hooks.on_done(m_result);
}

}  // namespace coppervalve::gateway
