#include "bench/capacity/core_driver.h"

#include <utility>  // exchange, move

#include "bench/capacity/allocations.h"
#include "bench/capacity/fleet_records.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/request/key_name.h"

namespace coppervalve::bench {

namespace {

constexpr core::Duration kStep = std::chrono::milliseconds(10);
constexpr uint64_t kStepsPerTick = 5;
constexpr uint64_t kStepsPerSecond = 100;
constexpr double kKeepAliveSeconds = 3;
constexpr core::Duration kFirstToken = std::chrono::milliseconds(300);
constexpr core::Bytes kPromptBytes{1'600};
constexpr core::Tokens kPromptTokens{400};
constexpr core::Tokens kMaxOutput{512};
/// A reply ends with the entry that exceeds this size.
constexpr size_t kReadBytes = 1 << 20;
constexpr core::Duration kJoinTime = std::chrono::seconds(1);

router::RouterSettings MakeSettings() {
  router::RouterSettings settings;
  settings.router = RouterOf(0);
  settings.caller_address = "10.1.0.0:8080";
  settings.peer_address = "10.1.0.0:8081";
  settings.operator_address = "10.1.0.0:8082";
  settings.failure_domain = FailureDomainOf(0);
  settings.region = NumberedId("region", 0);
  settings.version = "0.1.0";
  return settings;
}

double PerEvent(double sum, uint64_t events) {
  return events == 0 ? 0 : sum / static_cast<double>(events);
}

}  // namespace

double EventCost::AllocationsEach() const {
  return PerEvent(static_cast<double>(allocations), events);
}

double EventCost::CpuMicrosecondsEach() const {
  return PerEvent(static_cast<double>(cpu_ns) / 1e3, events);
}

void Volume::Add(size_t size) {
  ++count;
  bytes += size;
}

Volume Traffic::RecordsOf(v1::Record::BodyCase kind) const {
  const auto found = records.find(kind);
  return found == records.end() ? Volume{} : found->second;
}

uint64_t Traffic::RecordCount() const {
  uint64_t count = 0;
  for (const auto& [kind, volume] : records) {
    count += volume.count;
  }
  return count;
}

int64_t Traffic::CpuNanoseconds() const {
  int64_t sum = 0;
  for (const EventCost& cost : costs) {
    sum += cost.cpu_ns;
  }
  return sum;
}

RequestLoad ShareOfPeak(size_t accounts) {
  RequestLoad load;
  load.per_second =
      kDesignRequestsPerSecond / static_cast<double>(kDesign.members);
  load.accounts = accounts;
  load.answer_time = std::chrono::seconds(14);
  load.output = core::Tokens(
      static_cast<int64_t>(kDesignTokensPerSecond / kDesignRequestsPerSecond));
  return load;
}

CoreDriver::CoreDriver(const FleetSizes& sizes)
    : m_sizes(sizes), m_sequences(sizes.members, 1) {
  m_core = std::make_unique<router::RouterCore>(
      MakeSettings(),
      router::RouterHooks{[this] {
                            // SplitMix64, so that runs are the same on every
                            // machine.
                            m_random += 0x9E3779B97F4A7C15ULL;
                            uint64_t z = m_random;
                            z = (z ^ (z >> 30U)) * 0xBF58476D1CE4E5B9ULL;
                            z = (z ^ (z >> 27U)) * 0x94D049BB133111EBULL;
                            return z ^ (z >> 31U);
                          },
                          [](core::TimePoint) { return 0U; }});
}

CoreDriver::~CoreDriver() = default;

void CoreDriver::Append(const v1::Entry& entry) {
  m_log.push_back(entry.SerializeAsString());
}

void CoreDriver::Start() {
  Append(PublishEntry(MakeConfiguration(m_sizes), 0));
  for (size_t router = 1; router < m_sizes.members; ++router) {
    Append(JoinEntry(router, log_end()));
  }
  for (size_t router = 1; router < m_sizes.members && m_sizes.holders > 0;
       ++router) {
    Append(HoldingsEntry(m_sizes, router, ++m_sequences[router], log_end()));
  }
  Advance(kJoinTime);
}

void CoreDriver::Advance(core::Duration time) {
  const core::TimePoint until = m_now + time;
  while (m_now < until) {
    m_now += kStep;
    ++m_steps;
    Step();
  }
}

void CoreDriver::Step() {
  if (m_keep_alives) {
    AppendKeepAlives();
  }
  AnswerAppend();
  AnswerRead();
  for (v1::PeerMessage& reply : std::exchange(m_replies, {})) {
    Handle(router::PeerReceived{std::move(reply)});
  }
  if (m_steps % kStepsPerSecond == 0) {
    SendHeartbeats();
  }
  EndRequests();
  StartRequests();
  if (m_steps % kStepsPerTick == 0) {
    Handle(router::Tick{});
  }
}

void CoreDriver::Handle(const router::Event& event) {
  const uint64_t allocations = CountAllocations().calls;
  const int64_t start = ThreadCpuNanoseconds();
  const std::vector<router::Action> actions = m_core->Handle(m_now, event);
  EventCost& cost = m_traffic.costs[event.index()];
  cost.cpu_ns += ThreadCpuNanoseconds() - start;
  cost.allocations += CountAllocations().calls - allocations;
  ++cost.events;
  for (const router::Action& action : actions) {
    std::visit([this](const auto& a) { ExecuteAction(a); }, action);
  }
}

// ---- The log ---------------------------------------------------------------

void CoreDriver::AppendKeepAlives() {
  const double due = static_cast<double>(m_steps) *
                     static_cast<double>(m_sizes.members - 1) /
                     (kKeepAliveSeconds * kStepsPerSecond);
  while (static_cast<double>(m_next_keep_alive) <= due) {
    const size_t router = 1 + m_next_keep_alive % (m_sizes.members - 1);
    ++m_next_keep_alive;
    Append(EntryOf(router, ++m_sequences[router], log_end()));
  }
}

void CoreDriver::AnswerRead() {
  if (!m_read.has_value()) {
    return;
  }
  if (m_read->from >= log_end() && m_now < m_read->until) {
    return;
  }
  router::LogRead event;
  event.reply.set_first_retained(0);
  event.reply.set_end(log_end());
  size_t bytes = 0;
  while (!m_log.empty() && bytes < kReadBytes) {
    bytes += m_log.front().size();
    v1::LoggedEntry& logged = *event.reply.add_entries();
    logged.set_offset(m_log_base++);
    m_traffic.read.Add(m_log.front().size());
    logged.set_entry(std::move(m_log.front()));
    m_log.pop_front();
  }
  m_read.reset();
  Handle(event);
}

void CoreDriver::AnswerAppend() {
  if (!m_append.has_value()) {
    return;
  }
  m_log.push_back(std::move(*m_append));
  m_append.reset();
  Handle(router::LogAppended{core::LogOffset(log_end() - 1)});
}

void CoreDriver::ExecuteAction(const router::ReadLog& action) {
  m_read = PendingRead{action.from.value(), m_now + action.wait};
}

void CoreDriver::ExecuteAction(const router::AppendLog& action) {
  m_append = action.entry;
  m_traffic.appended.Add(action.entry.size());
  v1::Entry entry;
  entry.ParseFromString(action.entry);
  for (const v1::Record& record : entry.records()) {
    m_traffic.records[record.body_case()].Add(record.ByteSizeLong());
  }
}

// ---- Peers -----------------------------------------------------------------

void CoreDriver::ExecuteAction(const router::SendPeer& action) {
  const v1::PeerMessage& message = action.message;
  const size_t size = message.ByteSizeLong();
  if (message.has_heartbeat()) {
    m_traffic.heartbeats.Add(size);
    m_contacts.insert(action.router.value());
    return;
  }
  if (!message.has_ceiling_raise()) {
    m_traffic.other_messages.Add(size);
    return;
  }
  m_traffic.ceiling_raises.Add(size);
  v1::PeerMessage reply;
  reply.set_from_router(action.router.value());
  reply.set_from_incarnation(message.to_incarnation());
  reply.set_to_incarnation(message.from_incarnation());
  reply.mutable_ceiling_ack()->set_serial(message.ceiling_raise().serial());
  m_replies.push_back(std::move(reply));
}

// The contacts of this router answer. Routers that chose it as a contact are
// not simulated; contacts.cc measures their number.
void CoreDriver::SendHeartbeats() {
  const std::unordered_set<std::string> contacts =
      std::exchange(m_contacts, {});
  for (size_t router = 1; router < m_sizes.members; ++router) {
    if (!contacts.contains(RouterOf(router).value())) {
      continue;
    }
    v1::PeerMessage message;
    message.set_from_router(RouterOf(router).value());
    message.set_from_incarnation(IncarnationOf(router).value());
    message.set_to_incarnation(m_core->incarnation().value());
    v1::Heartbeat& heartbeat = *message.mutable_heartbeat();
    heartbeat.set_next_offset(log_end());
    heartbeat.set_log_age_ms(10);
    heartbeat.set_config_version(m_core->fold().config_version().value());
    Handle(router::PeerReceived{std::move(message)});
  }
}

// ---- Requests --------------------------------------------------------------

router::RequestArrived CoreDriver::MakeRequest() {
  const uint64_t number = ++m_last_request;
  const size_t account = number % m_load.accounts;
  router::RequestArrived event;
  event.request = core::RequestId(number);
  event.method = "POST";
  event.path = "/v1/chat/completions";
  event.headers = {{"content-type", "application/json"}, {"accept", "*/*"}};
  event.api_key = ApiKeyOf(account);
  event.body_hash = core::Hash128{number, number};
  event.body_size = kPromptBytes;
  event.model = ModelOf(m_sizes, account);
  event.max_output_tokens = kMaxOutput;
  event.stream = true;
  const auto keyed_before = static_cast<uint64_t>(
      static_cast<double>(number - 1) * m_load.keyed_share);
  const auto keyed_now =
      static_cast<uint64_t>(static_cast<double>(number) * m_load.keyed_share);
  if (keyed_now != keyed_before) {
    event.idempotency_key =
        request::KeyPrefix({RouterOf(0), m_core->incarnation()}) +
        std::to_string(number);
  }
  return event;
}

void CoreDriver::StartRequests() {
  m_request_credit += m_load.per_second / kStepsPerSecond;
  while (m_request_credit >= 1) {
    m_request_credit -= 1;
    Handle(MakeRequest());
  }
}

void CoreDriver::EndRequests() {
  while (!m_first_tokens.empty() && m_first_tokens.begin()->first <= m_now) {
    const Attempt attempt = m_first_tokens.begin()->second;
    m_first_tokens.erase(m_first_tokens.begin());
    Handle(router::AttemptFirstToken{attempt.request, attempt.attempt});
  }
  while (!m_attempts.empty() && m_attempts.begin()->first <= m_now) {
    const Attempt attempt = m_attempts.begin()->second;
    m_attempts.erase(m_attempts.begin());
    router::AttemptDone done;
    done.request = attempt.request;
    done.attempt = attempt.attempt;
    done.usage = router::Usage{kPromptTokens, m_load.output};
    done.answer_size = core::Bytes(m_load.output.value() * 4);
    Handle(done);
  }
}

void CoreDriver::ExecuteAction(const router::Dispatch& action) {
  ++m_traffic.dispatches;
  const Attempt attempt{action.request, action.attempt};
  m_first_tokens.emplace(m_now + kFirstToken, attempt);
  m_attempts.emplace(m_now + m_load.answer_time, attempt);
}

void CoreDriver::ExecuteAction(const router::Refuse& action) {
  ++m_traffic.refusals;
  m_traffic.last_refusal = action.error.subject + ": " + action.error.detail;
}

void CoreDriver::ExecuteAction(const router::LogLine& action) {
  if (action.level != router::LogLine::Level::kError) {
    return;
  }
  ++m_traffic.error_lines;
  m_traffic.last_error_line = action.event;
  for (const auto& [name, value] : action.fields) {
    m_traffic.last_error_line.append(" ").append(name).append("=").append(
        value);
  }
}

}  // namespace coppervalve::bench
