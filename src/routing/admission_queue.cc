#include "coppervalve/routing/admission_queue.h"

#include <algorithm>  // clamp, max, min
#include <iterator>   // distance
#include <set>        // set
#include <string>     // string
#include <utility>    // move, pair

#include "coppervalve/core/hash.h"

namespace coppervalve::routing {

namespace {

constexpr size_t kClasses = 3;
constexpr size_t kGate = 0;
constexpr size_t kInteractive = 1;
constexpr size_t kBatch = 2;
/// Pools without entries are kept for their drain rates up to this number of
/// pools.
constexpr size_t kMaxIdlePools = 256;
constexpr core::Duration kEstimateInterval{10'000};

size_t ClassIndex(v1::AdmissionClass admission_class) {
  switch (admission_class) {
    case v1::GATE:
      return kGate;
    case v1::BATCH:
      return kBatch;
    default:
      return kInteractive;
  }
}

std::string TargetKey(const WorkTarget& target) {
  constexpr char kSeparator = '\0';
  return target.model.value() + kSeparator + target.service.value();
}

}  // namespace

PoolId PoolOf(const WorkTarget& target) {
  return PoolId(core::Hash64(TargetKey(target)));
}

LaneId LaneOf(const WorkTarget& target, const core::RuleId& rule) {
  return LaneId(core::Hash64(rule.value(), PoolOf(target).value()));
}

/// Waiting entries of one class in one pool.
struct AdmissionQueue::ClassQueue {
  /// Entries of one account in one lane, earliest deadline first.
  using Flow = std::multimap<core::TimePoint, core::RequestId>;
  struct Account {
    std::map<LaneId, Flow> flows;
    size_t size = 0;
    double served_cost = 0;  ///< virtual time of start-time fair queueing
  };

  std::map<core::AccountId, Account> accounts;
  size_t size = 0;
  /// Virtual time of the last start. An account that has entries again starts
  /// here, so that it accumulates no credit while it has none.
  double virtual_time = 0;
  /// Starts of higher classes while this class waited.
  uint32_t skipped_starts = 0;
  DrainRate rate;
};

/// Waiting entries for one model or service.
struct AdmissionQueue::Pool {
  std::array<ClassQueue, kClasses> classes;
  DrainRate rate;

  size_t Size() const {
    return classes[kGate].size + classes[kInteractive].size +
           classes[kBatch].size;
  }
};

/// State of one Drain call: tracks the blocked lanes and selects the next
/// entry.
class AdmissionQueue::DrainPass {
 public:
  DrainPass(const AdmissionQueueOptions& options, const Pool& pool)
      : m_options(options), m_pool(pool) {}

  /// Next entry to try; none when all waiting entries are blocked.
  std::optional<core::RequestId> Next() const {
    for (const size_t index : ClassOrder()) {
      if (const auto head = Head(m_pool.classes[index], index)) {
        return head;
      }
    }
    return std::nullopt;
  }

  /// Index of the class of the entry that Next returns; a lower index is more
  /// urgent.
  size_t NextClass() const {
    for (const size_t index : ClassOrder()) {
      if (Head(m_pool.classes[index], index)) {
        return index;
      }
    }
    return kClasses;
  }

  void Block(LaneId lane, size_t class_index) {
    m_blocked.emplace(lane, class_index);
  }

 private:
  std::array<size_t, kClasses> ClassOrder() const {
    const ClassQueue& batch = m_pool.classes[kBatch];
    const ClassQueue& interactive = m_pool.classes[kInteractive];
    // With strict priority alone, BATCH requests starve for as long as GATE
    // requests keep the upstreams full: they wait for hours and expire.
    // Reserving one in N starts bounds their wait and costs GATE requests at
    // most that share.
    if (batch.size > 0 &&
        batch.skipped_starts + 1 >= m_options.batch_start_interval) {
      return {kBatch, kGate, kInteractive};
    }
    if (interactive.size > 0 && interactive.skipped_starts + 1 >=
                                    m_options.interactive_start_interval) {
      return {kInteractive, kGate, kBatch};
    }
    return {kGate, kInteractive, kBatch};
  }

  /// Selects the account with the lowest served cost; at equal cost, the
  /// earliest deadline.
  std::optional<core::RequestId> Head(const ClassQueue& queue,
                                      size_t class_index) const {
    std::optional<core::RequestId> head;
    std::pair<double, core::TimePoint> best;
    for (const auto& [id, account] : queue.accounts) {
      for (const auto& [lane, flow] : account.flows) {
        if (m_blocked.contains({lane, class_index})) {
          continue;
        }
        const std::pair key{account.served_cost, flow.begin()->first};
        if (!head || key < best) {
          head = flow.begin()->second;
          best = key;
        }
      }
    }
    return head;
  }

  const AdmissionQueueOptions& m_options;
  const Pool& m_pool;
  std::set<std::pair<LaneId, size_t>> m_blocked;
};

AdmissionQueue::AdmissionQueue(AdmissionQueueOptions options,
                               RandomSource random)
    : m_options(options), m_random(std::move(random)) {}

AdmissionQueue::~AdmissionQueue() = default;

OfferOutcome AdmissionQueue::Offer(const QueueEntry& entry,
                                   core::TimePoint now) {
  OfferOutcome outcome;
  outcome.expected_wait = ExpectedWait(entry, now);
  // Refuses an entry that is not expected to start in time, while its caller
  // can still go elsewhere. Queued until its deadline, it would only delay
  // other entries and leave its caller waiting.
  const core::Duration wait =
      outcome.expected_wait.value_or(core::Duration::zero());
  if (now + wait >= entry.start_by) {
    outcome.refused = Refuse(core::ErrorId::kDeadlineTooShort, entry, now);
    return outcome;
  }
  if (!AccountHasRoom(entry)) {
    outcome.refused = Refuse(core::ErrorId::kQueueFull, entry, now);
    return outcome;
  }
  if (m_entries.size() >= ClassCapacity(entry.admission_class)) {
    if (entry.admission_class == v1::GATE) {
      outcome.displaced = DisplaceBatch(now);
    }
    if (!outcome.displaced) {
      outcome.refused = Refuse(core::ErrorId::kQueueFull, entry, now);
      return outcome;
    }
  }
  Insert(entry);
  return outcome;
}

size_t AdmissionQueue::Drain(core::TimePoint now, const TryStart& try_start) {
  std::vector<std::pair<Pool*, DrainPass>> passes;
  for (const auto& [id, pool] : m_pools) {
    if (pool->Size() > 0) {
      passes.emplace_back(pool.get(), DrainPass(m_options, *pool));
    }
  }
  size_t starts = 0;
  while (true) {
    // Pools may share upstreams, so the most urgent class over all pools goes
    // first.
    size_t next_pass = passes.size();
    size_t best_class = kClasses;
    for (size_t index = 0; index < passes.size(); ++index) {
      const size_t next_class = passes[index].second.NextClass();
      if (next_class < best_class) {
        next_pass = index;
        best_class = next_class;
      }
    }
    if (next_pass == passes.size()) {
      return starts;
    }
    auto& [pool, pass] = passes[next_pass];
    const QueueEntry entry = m_entries.at(*pass.Next());
    if (!try_start(entry)) {
      pass.Block(entry.lane, ClassIndex(entry.admission_class));
      continue;
    }
    OnStarted(*pool, entry, now);
    ++starts;
  }
}

void AdmissionQueue::OnStarted(Pool& pool,
                               const QueueEntry& entry,
                               core::TimePoint now) {
  const size_t class_index = ClassIndex(entry.admission_class);
  ClassQueue& queue = pool.classes[class_index];
  ClassQueue::Account& account = queue.accounts.at(entry.account);
  queue.virtual_time = account.served_cost;
  account.served_cost += std::max(entry.cost, 0.0);
  queue.skipped_starts = 0;
  for (size_t lower = class_index + 1; lower < kClasses; ++lower) {
    pool.classes[lower].skipped_starts += pool.classes[lower].size > 0 ? 1 : 0;
  }
  Erase(entry);
  queue.rate.OnServed(now, queue.size > 0);
  pool.rate.OnServed(now, pool.Size() > 0);
}

std::vector<QueueRefusal> AdmissionQueue::Expire(core::TimePoint now) {
  std::vector<QueueRefusal> refusals;
  // Called after every event, but the wait estimates of all entries are not
  // needed as often.
  const bool estimate = now - m_estimated_at >= kEstimateInterval;
  m_estimated_at = estimate ? now : m_estimated_at;
  for (const auto& [id, pool] : m_pools) {
    if (pool->Size() == 0) {
      continue;
    }
    for (const QueueEntry& entry : Overdue(*pool, now)) {
      Erase(entry);
      refusals.push_back(
          {entry.request, Refuse(core::ErrorId::kQueueTimeout, entry, now)});
    }
    if (!estimate) {
      continue;
    }
    for (const QueueEntry& entry : PredictedLate(*pool, now)) {
      Erase(entry);
      refusals.push_back(
          {entry.request,
           Refuse(core::ErrorId::kDeadlineTooShort, entry, now)});
    }
  }
  PruneIdlePools();
  return refusals;
}

std::vector<QueueEntry> AdmissionQueue::Overdue(const Pool& pool,
                                                core::TimePoint now) const {
  std::vector<QueueEntry> overdue;
  for (const ClassQueue& queue : pool.classes) {
    for (const auto& [id, account] : queue.accounts) {
      for (const auto& [lane, flow] : account.flows) {
        for (const auto& [start_by, request] : flow) {
          if (start_by > now) {
            break;
          }
          overdue.push_back(m_entries.at(request));
        }
      }
    }
  }
  return overdue;
}

std::vector<QueueEntry> AdmissionQueue::PredictedLate(
    const Pool& pool,
    core::TimePoint now) const {
  std::vector<QueueEntry> predicted_late;
  for (size_t index = 0; index < kClasses; ++index) {
    const ClassQueue& queue = pool.classes[index];
    for (const auto& [id, account] : queue.accounts) {
      size_t own_ahead = 0;
      for (const auto& [lane, flow] : account.flows) {
        for (const auto& [start_by, request] : flow) {
          const size_t ahead = CountAhead(queue, id, own_ahead);
          const auto wait = EstimateWait(pool, index, ahead, now);
          const double time_left =
              static_cast<double>((start_by - now).count());
          if (wait && static_cast<double>(wait->count()) >
                          time_left * m_options.late_wait_factor) {
            predicted_late.push_back(m_entries.at(request));
            continue;
          }
          ++own_ahead;
        }
      }
    }
  }
  return predicted_late;
}

bool AdmissionQueue::Remove(core::RequestId request) {
  const auto found = m_entries.find(request);
  if (found == m_entries.end()) {
    return false;
  }
  Erase(QueueEntry(found->second));
  return true;
}

std::vector<QueueRefusal> AdmissionQueue::RefuseAll(const core::Error& error) {
  std::vector<QueueRefusal> refusals;
  for (const auto& [request, entry] : m_entries) {
    refusals.push_back({request, {error, std::nullopt}});
  }
  for (const QueueRefusal& refusal : refusals) {
    Remove(refusal.request);
  }
  return refusals;
}

bool AdmissionQueue::HasWaiting(PoolId pool,
                                v1::AdmissionClass admission_class) const {
  const auto found = m_pools.find(pool);
  if (found == m_pools.end()) {
    return false;
  }
  for (size_t index = 0; index <= ClassIndex(admission_class); ++index) {
    if (found->second->classes[index].size > 0) {
      return true;
    }
  }
  return false;
}

core::Duration AdmissionQueue::RetryAfter(PoolId pool,
                                          const core::AccountId& account,
                                          v1::AdmissionClass admission_class,
                                          core::TimePoint now) const {
  QueueEntry entry;
  entry.pool = pool;
  entry.account = account;
  entry.admission_class = admission_class;
  entry.start_by = core::TimePoint::max();
  return AddJitter(ExpectedWait(entry, now));
}

size_t AdmissionQueue::SizeOf(v1::AdmissionClass admission_class) const {
  return m_class_sizes[ClassIndex(admission_class)];
}

Refusal AdmissionQueue::Refuse(core::ErrorId id,
                               const QueueEntry& entry,
                               core::TimePoint now) const {
  const core::Duration retry_after =
      RetryAfter(entry.pool, entry.account, entry.admission_class, now);
  return {{id, entry.account.value(),
           std::to_string(m_entries.size()) + " requests wait"},
          retry_after};
}

core::Duration AdmissionQueue::AddJitter(
    std::optional<core::Duration> wait) const {
  const core::Duration base = std::max(
      wait.value_or(m_options.default_retry_after), m_options.min_retry_after);
  // Jitter keeps callers that were refused together from retrying together.
  return std::min(base + UniformDuration(m_random, base / 2),
                  m_options.max_retry_after);
}

/// Number of entries that start before the one with `own_ahead` entries of its
/// own account before it, when accounts take turns.
size_t AdmissionQueue::CountAhead(const ClassQueue& queue,
                                  const core::AccountId& account,
                                  size_t own_ahead) {
  size_t ahead = own_ahead;
  for (const auto& [id, other] : queue.accounts) {
    if (id != account) {
      ahead += std::min(other.size, own_ahead + 1);
    }
  }
  return ahead;
}

std::optional<core::Duration> AdmissionQueue::EstimateWait(
    const Pool& pool,
    size_t class_index,
    size_t ahead,
    core::TimePoint now) const {
  const ClassQueue& queue = pool.classes[class_index];
  if (ahead > 0) {
    // The measured rate of a backlogged class already accounts for the starts
    // that higher classes take, including those of future arrivals.
    const auto by_class =
        queue.rate.TimeFor(static_cast<double>(ahead + 1), now);
    if (by_class) {
      return by_class;
    }
  }
  for (size_t higher = 0; higher < class_index; ++higher) {
    ahead += pool.classes[higher].size;
  }
  if (ahead == 0) {
    return std::nullopt;  // first in the queue: starts as soon as any entry can
  }
  return pool.rate.TimeFor(static_cast<double>(ahead + 1), now);
}

std::optional<core::Duration> AdmissionQueue::ExpectedWait(
    const QueueEntry& entry,
    core::TimePoint now) const {
  const auto found = m_pools.find(entry.pool);
  if (found == m_pools.end()) {
    return std::nullopt;
  }
  const Pool& pool = *found->second;
  const size_t class_index = ClassIndex(entry.admission_class);
  const ClassQueue& queue = pool.classes[class_index];
  size_t own_ahead = 0;
  const auto account = queue.accounts.find(entry.account);
  if (account != queue.accounts.end()) {
    for (const auto& [lane, flow] : account->second.flows) {
      const auto later = flow.upper_bound(entry.start_by);
      own_ahead += static_cast<size_t>(std::distance(flow.begin(), later));
    }
  }
  return EstimateWait(pool, class_index,
                      CountAhead(queue, entry.account, own_ahead), now);
}

size_t AdmissionQueue::ClassCapacity(v1::AdmissionClass admission_class) const {
  const double capacity = static_cast<double>(m_options.capacity);
  switch (ClassIndex(admission_class)) {
    case kGate:
      return m_options.capacity;
    case kBatch:
      return static_cast<size_t>(capacity * m_options.batch_share);
    default:
      return static_cast<size_t>(capacity * m_options.interactive_share);
  }
}

bool AdmissionQueue::AccountHasRoom(const QueueEntry& entry) const {
  // A fixed cap per account wastes places when few accounts are active. A
  // multiple of the free places lets one account use most of an idle queue, yet
  // always leaves places for the next account.
  const auto& sizes = m_account_sizes[ClassIndex(entry.admission_class)];
  const auto found = sizes.find(entry.account);
  if (found == sizes.end()) {
    return true;
  }
  const size_t capacity = ClassCapacity(entry.admission_class);
  const size_t taken = std::min(capacity, m_entries.size());
  const double free = static_cast<double>(capacity - taken);
  return static_cast<double>(found->second) < free * m_options.account_share;
}

std::optional<QueueRefusal> AdmissionQueue::DisplaceBatch(core::TimePoint now) {
  const QueueEntry* latest = nullptr;
  for (const auto& [request, entry] : m_entries) {
    if (entry.admission_class != v1::BATCH) {
      continue;
    }
    const bool is_later =
        latest == nullptr || entry.start_by > latest->start_by ||
        (entry.start_by == latest->start_by && entry.request > latest->request);
    if (is_later) {
      latest = &entry;
    }
  }
  if (latest == nullptr) {
    return std::nullopt;
  }
  const QueueEntry entry = *latest;
  Erase(entry);
  return QueueRefusal{entry.request,
                      Refuse(core::ErrorId::kQueueFull, entry, now)};
}

void AdmissionQueue::Insert(const QueueEntry& entry) {
  std::unique_ptr<Pool>& pool = m_pools[entry.pool];
  if (pool == nullptr) {
    pool = std::make_unique<Pool>();
  }
  const size_t class_index = ClassIndex(entry.admission_class);
  ClassQueue& queue = pool->classes[class_index];
  ClassQueue::Account& account = queue.accounts[entry.account];
  if (account.size == 0) {
    account.served_cost = std::max(account.served_cost, queue.virtual_time);
  }
  account.flows[entry.lane].emplace(entry.start_by, entry.request);
  ++account.size;
  ++queue.size;
  ++m_class_sizes[class_index];
  ++m_account_sizes[class_index][entry.account];
  m_entries.emplace(entry.request, entry);
}

void AdmissionQueue::Erase(const QueueEntry& entry) {
  const size_t class_index = ClassIndex(entry.admission_class);
  ClassQueue& queue = m_pools.at(entry.pool)->classes[class_index];
  ClassQueue::Account& account = queue.accounts.at(entry.account);
  ClassQueue::Flow& flow = account.flows.at(entry.lane);
  const auto [first, last] = flow.equal_range(entry.start_by);
  for (auto it = first; it != last; ++it) {
    if (it->second == entry.request) {
      flow.erase(it);
      break;
    }
  }
  if (flow.empty()) {
    account.flows.erase(entry.lane);
  }
  --account.size;
  --queue.size;
  if (queue.size == 0) {
    queue.skipped_starts = 0;
    queue.accounts.clear();  // no entries wait, so no fairness state is needed
  }
  --m_class_sizes[class_index];
  const auto counted = m_account_sizes[class_index].find(entry.account);
  if (--counted->second == 0) {
    m_account_sizes[class_index].erase(counted);
  }
  m_entries.erase(entry.request);
}

void AdmissionQueue::PruneIdlePools() {
  if (m_pools.size() <= kMaxIdlePools) {
    return;
  }
  std::erase_if(m_pools,
                [](const auto& pool) { return pool.second->Size() == 0; });
}

}  // namespace coppervalve::routing
