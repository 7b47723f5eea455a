#include "reader_fleet.h"

#include <algorithm>  // find_if, max, min
#include <cmath>      // fmod
#include <limits>     // numeric_limits
#include <utility>    // exchange, move

#include "entry_fixture.h"

namespace coppervalve::entry::testing {

namespace {

constexpr double kCallSeconds = 0.01;
constexpr double kTextPerByte = 4.0 / 3;  // pages of newest records are text
constexpr double kNever = std::numeric_limits<double>::infinity();
constexpr double kOffsetBytes = 16;  // of an answer without records
// The configuration that all routers have when the simulation starts.
constexpr uint64_t kFirstVersion = 1;

double Seconds(core::Duration span) {
  return std::chrono::duration<double>(span).count();
}

double Seconds(core::TimePoint time) {
  return Seconds(time.time_since_epoch());
}

}  // namespace

Reading ProductReading() {
  Reading reading;
  reading.plan = ConfigurationPlan();
  reading.timeouts.total = core::Duration(5'000'000);
  return reading;
}

ReaderFleet::ReaderFleet(ReaderFleetOptions options, const Reading& reading)
    : m_options(options),
      m_reading(reading),
      m_readers(options.routers, Reader(reading)),
      m_written_at{0} {
  for (size_t i = 0; i < options.routers; ++i) {
    m_readers[i].in_force_at = {0};
    // Long polls of routers that have run for a while are spread evenly.
    Schedule(NextFraction() * Seconds(reading.wait), [this, i] {
      SetSpread(m_readers[i]);
      ScheduleStep(i, m_readers[i].plan.OnNewest(m_reading.keys, kFirstVersion,
                                                 At(m_now)));
    });
  }
}

void ReaderFleet::WriteVersions(const std::vector<double>& times) {
  for (const double at : times) {
    Schedule(at, [this] {
      m_written_at.push_back(m_now);
      for (const Request& request : std::exchange(m_waiting, {})) {
        Answer(request);
      }
    });
  }
}

void ReaderFleet::Partition(size_t routers, double from, double to) {
  for (size_t i = 0; i < routers; ++i) {
    m_readers[i].outage = Outage{from, to, Outage::Kind::kUnconnectable};
  }
}

void ReaderFleet::Refuse(size_t routers, double from, double to) {
  for (size_t i = 0; i < routers; ++i) {
    m_readers[i].outage = Outage{from, to, Outage::Kind::kRefuses};
  }
}

void ReaderFleet::Silence(double from, double to) {
  for (Reader& reader : m_readers) {
    reader.outage = Outage{from, to, Outage::Kind::kSilent};
  }
}

void ReaderFleet::Run(double until) {
  while (!m_events.empty() && m_events.top().at < until) {
    const Event event = m_events.top();
    m_events.pop();
    m_now = event.at;
    event.run();
  }
}

void ReaderFleet::Slow(double from, double to, double delay_seconds) {
  m_slowness = {from, to, delay_seconds};
}

bool ReaderFleet::Outage::Loses(double began, double sent) const {
  switch (kind) {
    case Kind::kRefuses:
      return false;
    case Kind::kUnconnectable:
      return Contains(sent);
    case Kind::kSilent:
      return began < to && sent >= from;
  }
  return false;
}

double ReaderFleet::Outage::LongestOutside(double begin, double end) const {
  return std::max(std::min(end, from) - begin, end - std::max(begin, to));
}

double ReaderFleet::DelayOf(const Reader& reader, size_t version) const {
  const double written_at = m_written_at[version];
  double in_force_at = kNever;
  if (version < reader.in_force_at.size()) {
    in_force_at = reader.in_force_at[version];
  }
  return reader.outage ? reader.outage->LongestOutside(written_at, in_force_at)
                       : in_force_at - written_at;
}

double ReaderFleet::LongestDelay() const {
  double longest = 0;
  for (const Reader& reader : m_readers) {
    for (size_t version = 1; version < m_written_at.size(); ++version) {
      longest = std::max(longest, DelayOf(reader, version));
    }
  }
  return longest;
}

double ReaderFleet::AllInForceAt() const {
  double last = 0;
  for (const Reader& reader : m_readers) {
    const bool newest = reader.in_force_at.size() == m_written_at.size();
    last = std::max(last, newest ? reader.in_force_at.back() : kNever);
  }
  return last;
}

double ReaderFleet::VersionsSentPerRouter() const {
  return m_bytes_sent / m_options.version_bytes /
         static_cast<double>(m_options.routers);
}

void ReaderFleet::Schedule(double at, std::function<void()> run) {
  m_events.push({at, ++m_order, std::move(run)});
}

// Evenly distributed and deterministic.
double ReaderFleet::NextFraction() {
  constexpr double kGoldenRatio = 0.618033988749895;
  m_fraction = std::fmod(m_fraction + kGoldenRatio, 1.0);
  return m_fraction;
}

uint64_t ReaderFleet::Written() const {
  return m_written_at.size();
}

void ReaderFleet::ScheduleStep(size_t router, const ReadStep& step) {
  const double at = m_now + Seconds(step.delay);
  const Request request{router, at, step.call, step.patience};
  Schedule(at, [this, request] { Call(request); });
}

void ReaderFleet::FailAt(const Request& request, double at) {
  Schedule(at, [this, request] {
    ScheduleStep(request.router,
                 m_readers[request.router].plan.OnFailure(
                     NextFraction(), At(request.began), At(m_now)));
  });
}

void ReaderFleet::Call(const Request& request) {
  const Reader& reader = m_readers[request.router];
  if (reader.outage && reader.outage->Contains(m_now)) {
    switch (reader.outage->kind) {
      case Outage::Kind::kRefuses:
        FailAt(request, m_now + kCallSeconds);
        return;
      case Outage::Kind::kUnconnectable:
        FailAt(request, m_now + Seconds(m_reading.timeouts.connect));
        return;
      case Outage::Kind::kSilent:
        FailAt(request, FirstByteTimeout(request));
        return;
    }
  }
  const bool waits = request.polls() && reader.plan.next() == Written();
  if (!waits) {
    Answer(request);
    return;
  }
  m_waiting.push_back(request);
  Schedule(m_now + Seconds(m_reading.wait), [this, request] {
    const auto found = std::find_if(m_waiting.begin(), m_waiting.end(),
                                    [&](const Request& waiting) {
                                      return waiting.router == request.router;
                                    });
    if (found != m_waiting.end() && found->began == request.began) {
      m_waiting.erase(found);
      Answer(request);
    }
  });
}

uint64_t ReaderFleet::RecordsIn(const Request& request) const {
  if (!request.polls()) {
    return request.page() ? 1 : 0;
  }
  const auto fit = static_cast<uint64_t>(
      static_cast<double>(m_reading.plan.max_bytes) / m_options.version_bytes);
  return std::min(Written() - m_readers[request.router].plan.next(),
                  std::max<uint64_t>(fit, 1));
}

double ReaderFleet::BytesOf(const Request& request) const {
  const double records = static_cast<double>(RecordsIn(request));
  return kOffsetBytes + records * m_options.version_bytes *
                            (request.page() ? kTextPerByte : 1);
}

double ReaderFleet::DelayOfAnswer(const Request& request) const {
  const bool slow =
      m_slowness.from <= request.began && request.began < m_slowness.to;
  return kCallSeconds + (slow ? m_slowness.delay_seconds : 0);
}

double ReaderFleet::FirstByteTimeout(const Request& request) const {
  CallTimeouts timeouts = m_reading.timeouts;
  timeouts.first_byte =
      request.patience +
      (request.polls() ? m_reading.wait : core::Duration::zero());
  return Seconds(timeouts.TimesOutAt({At(request.began), true, std::nullopt}));
}

void ReaderFleet::Answer(const Request& request) {
  const double bytes = BytesOf(request);
  m_bytes_sent += bytes;
  m_store_free = std::max(m_store_free, m_now + kCallSeconds) +
                 bytes / m_options.store_bytes_per_second;
  const double begins = std::max(m_store_free, m_now + DelayOfAnswer(request));
  const double ends = begins + bytes / m_options.link_bytes_per_second;
  const double first_byte_timeout = FirstByteTimeout(request);
  const double total_timeout = Seconds(
      m_reading.timeouts.TimesOutAt({At(request.began), true, At(ends)}));
  const auto& outage = m_readers[request.router].outage;
  const bool lost = outage && outage->Loses(request.began, m_now);
  if (lost || begins > first_byte_timeout) {
    FailAt(request, first_byte_timeout);
    return;
  }
  if (ends > total_timeout) {
    FailAt(request, total_timeout);
    return;
  }
  const uint64_t end = Written();
  const uint64_t next = request.page() ? end
                                       : m_readers[request.router].plan.next() +
                                             RecordsIn(request);
  Schedule(ends, [this, request, next, end] { OnAnswer(request, next, end); });
}

void ReaderFleet::SetSpread(Reader& reader) {
  if (!m_reading.spreads) {
    return;
  }
  const ReadLoad load{m_options.routers, m_options.store_bytes_per_second};
  reader.plan.SetSpread(
      ReadInterval(load, static_cast<size_t>(m_options.version_bytes)),
      NextFraction());
}

void ReaderFleet::OnAnswer(const Request& request,
                           uint64_t next,
                           uint64_t end) {
  Reader& reader = m_readers[request.router];
  SetSpread(reader);
  while (reader.in_force_at.size() < next) {
    reader.in_force_at.push_back(m_now);
  }
  ScheduleStep(request.router, NextStep(request, next, end));
}

ReadStep ReaderFleet::NextStep(const Request& request,
                               uint64_t next,
                               uint64_t end) {
  ReadPlan& plan = m_readers[request.router].plan;
  if (request.page()) {
    return plan.OnNewest(m_reading.keys, next, At(m_now));
  }
  if (request.call == ReadStep::Call::kPeek) {
    return plan.OnPeek(end, At(m_now));
  }
  return plan.OnBatch(next == plan.next(), next, end, plan.options().pause,
                      At(m_now));
}

}  // namespace coppervalve::entry::testing
