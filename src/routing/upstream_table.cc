#include "coppervalve/routing/upstream_table.h"

#include <algorithm>      // find, max, min, sort
#include <cmath>          // exp, lround
#include <unordered_set>  // unordered_set
#include <utility>        // move

#include "coppervalve/core/hash.h"

namespace coppervalve::routing {

namespace {

/// A queue longer than the running requests divided by this means that the
/// upstream has more requests than fit into its batch.
constexpr uint32_t kQueueShareOfRunning = 16;
constexpr uint32_t kMinStandingQueue = 1;
constexpr core::Duration kProbeScanInterval{10'000};

bool HasStandingQueue(const LoadReport& load) {
  return load.queued >
         std::max(kMinStandingQueue, load.running / kQueueShareOfRunning);
}

std::string RuleKey(const WorkTarget& target, const core::RuleId& rule) {
  constexpr char kSeparator = '\0';
  std::string key = rule.value();
  key += kSeparator;
  key += target.model.value();
  key += kSeparator;
  key += target.service.value();
  return key;
}

}  // namespace

struct UpstreamTable::Entry {
  Entry(const UpstreamInfo& configured, const UpstreamTableOptions& options)
      : info(configured),
        id_hash(core::Hash64(configured.id.value())),
        limit(options.limit, configured.max_concurrency),
        health(options.health) {}

  UpstreamInfo info;
  uint64_t id_hash;
  ConcurrencyLimit limit;
  Health health;
  bool leaving = false;  ///< shown as leaving by the VM list
  bool removed = false;  ///< no longer in the configuration
  uint32_t own = 0;
  double others = 0;
  uint32_t queued = 0;
  bool reported = false;
  core::TimePoint reported_at{};
  core::TimePoint held_off_until{};
};

UpstreamTable::UpstreamTable(UpstreamTableOptions options, RandomSource random)
    : m_options(options), m_random(std::move(random)) {}

UpstreamTable::~UpstreamTable() = default;

void UpstreamTable::SetUpstreams(const std::vector<UpstreamInfo>& upstreams) {
  std::unordered_set<core::UpstreamId> kept;
  for (const UpstreamInfo& info : upstreams) {
    kept.insert(info.id);
    AddOrUpdate(info);
  }
  std::vector<core::UpstreamId> gone;
  for (const auto& [id, slot] : m_slots) {
    if (!kept.contains(id)) {
      gone.push_back(id);
    }
  }
  for (const core::UpstreamId& id : gone) {
    FindEntry(id)->removed = true;
    RemoveIfIdle(id);
  }
  RebuildCandidateSets();
}

void UpstreamTable::AddOrUpdate(const UpstreamInfo& info) {
  Entry* known = FindEntry(info.id);
  if (known == nullptr) {
    m_slots[info.id] = AllocateSlot();
    m_entries[m_slots[info.id]] = std::make_unique<Entry>(info, m_options);
    return;
  }
  if (known->info.address != info.address) {
    // A different process: the learned state does not apply to it, but attempts
    // at the old address still end under this id.
    const uint32_t own = known->own;
    *known = Entry(info, m_options);
    known->own = own;
    m_ejected.erase(m_slots[info.id]);
    return;
  }
  known->info = info;
  known->removed = false;
  known->limit.SetHardCap(info.max_concurrency);
}

size_t UpstreamTable::AllocateSlot() {
  if (m_free_slots.empty()) {
    m_entries.emplace_back();
    return m_entries.size() - 1;
  }
  const size_t slot = m_free_slots.back();
  m_free_slots.pop_back();
  return slot;
}

void UpstreamTable::RebuildCandidateSets() {
  m_by_model.clear();
  m_by_service.clear();
  m_by_rule.clear();
  for (size_t slot = 0; slot < m_entries.size(); ++slot) {
    const Entry* entry = m_entries[slot].get();
    if (entry == nullptr || entry->removed) {
      continue;
    }
    for (const core::ModelId& model : entry->info.models) {
      m_by_model[model].emplace_back(slot);
    }
    if (!entry->info.service.empty()) {
      m_by_service[entry->info.service].emplace_back(slot);
    }
  }
  for (auto& [model, set] : m_by_model) {
    SortByHash(set);
  }
  for (auto& [service, set] : m_by_service) {
    SortByHash(set);
  }
}

void UpstreamTable::SortByHash(CandidateSet& set) const {
  std::sort(set.begin(), set.end(), [this](UpstreamSlot a, UpstreamSlot b) {
    return IdHash(a) < IdHash(b);
  });
}

void UpstreamTable::SetLeaving(const core::UpstreamId& id, bool leaving) {
  Entry* entry = FindEntry(id);
  if (entry != nullptr) {
    entry->leaving = leaving;
  }
}

void UpstreamTable::OnDispatch(const core::UpstreamId& id) {
  Entry* entry = FindEntry(id);
  if (entry != nullptr) {
    ++entry->own;
  }
}

void UpstreamTable::OnFirstToken(const core::UpstreamId& id,
                                 core::Duration latency,
                                 core::TimePoint now) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr) {
    return;
  }
  // A reported queue is a direct signal of overload. Latency is only an
  // indirect one, because it also depends on the prompt.
  if (!entry->reported) {
    entry->limit.OnLatency(latency, now);
  }
}

void UpstreamTable::OnDone(const core::UpstreamId& id,
                           core::Duration latency,
                           const std::optional<LoadReport>& load,
                           core::TimePoint now) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr) {
    return;
  }
  entry->health.OnSuccess(now);
  const bool overloaded = load && HasStandingQueue(*load);
  if (!overloaded) {
    entry->limit.OnSuccess(entry->own);
  }
  if (entry->info.kind == v1::PLAIN_SERVICE && !load) {
    entry->limit.OnLatency(latency, now);
  }
  EndAttempt(*entry);
  if (load) {
    OnLoad(id, *load, now);
  }
  RemoveIfIdle(id);
}

void UpstreamTable::OnDeclined(const core::UpstreamId& id,
                               const std::optional<core::Duration>& retry_after,
                               const std::optional<LoadReport>& load,
                               core::TimePoint now) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr) {
    return;
  }
  entry->limit.OnOverload(now);
  const core::Duration pause = std::min(
      retry_after.value_or(m_options.default_hold_off), m_options.max_hold_off);
  entry->held_off_until = std::max(entry->held_off_until, now + pause);
  EndAttempt(*entry);
  if (load) {
    OnLoad(id, *load, now);
  }
  RemoveIfIdle(id);
}

void UpstreamTable::OnFailed(const core::UpstreamId& id,
                             FailureKind kind,
                             core::TimePoint now) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr) {
    return;
  }
  entry->health.OnFailure(kind, now, m_random);
  UpdateEjectedSlots(*entry, now);
  EndAttempt(*entry);
  RemoveIfIdle(id);
}

void UpstreamTable::OnNotSent(const core::UpstreamId& id, core::TimePoint now) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr) {
    return;
  }
  entry->health.OnNotSent(now, m_random);
  UpdateEjectedSlots(*entry, now);
  EndAttempt(*entry);
  RemoveIfIdle(id);
}

void UpstreamTable::OnCancelled(const core::UpstreamId& id) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr) {
    return;
  }
  EndAttempt(*entry);
  RemoveIfIdle(id);
}

void UpstreamTable::OnLoad(const core::UpstreamId& id,
                           const LoadReport& load,
                           core::TimePoint now) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr) {
    return;
  }
  // The report includes this router's attempts. They are subtracted and
  // replaced by their exact current number. Otherwise all routers would send
  // their requests to the upstream that was idle in the last report until the
  // next one arrives.
  const uint32_t total = load.running + load.queued;
  const double others = total > entry->own ? total - entry->own : 0;
  const double gap_us = static_cast<double>((now - entry->reported_at).count());
  const double time_constant_us =
      static_cast<double>(m_options.report_smoothing.count());
  const double decay = entry->reported && time_constant_us > 0
                           ? std::exp(-gap_us / time_constant_us)
                           : 0;
  entry->others = decay * entry->others + (1 - decay) * others;
  entry->queued = load.queued;
  entry->reported = true;
  entry->reported_at = now;
  if (HasStandingQueue(load)) {
    entry->limit.OnOverload(now);
  }
}

std::vector<ProbeDue> UpstreamTable::TakeProbesDue(core::TimePoint now) {
  std::vector<ProbeDue> due;
  // Called after every event. In a large fleet, checking each upstream every
  // time would cost more than all other decisions.
  if (m_ejected.empty() || now - m_last_probe_scan < kProbeScanInterval) {
    return due;
  }
  m_last_probe_scan = now;
  std::vector<size_t> probe_order(m_ejected.lower_bound(m_next_probe_slot),
                                  m_ejected.end());
  probe_order.insert(probe_order.end(), m_ejected.begin(),
                     m_ejected.lower_bound(m_next_probe_slot));
  for (const size_t slot : probe_order) {
    Entry& entry = *m_entries[slot];
    if (entry.removed || entry.leaving) {
      continue;
    }
    if (due.size() == m_options.max_probes_per_call) {
      m_next_probe_slot = slot;
      break;
    }
    if (entry.health.TakeProbeDue(now)) {
      due.push_back({entry.info.id, entry.info.address});
    }
  }
  return due;
}

void UpstreamTable::UpdateEjectedSlots(const Entry& entry,
                                       core::TimePoint now) {
  const size_t slot = m_slots.at(entry.info.id);
  if (entry.health.state(now) == HealthState::kEjected) {
    m_ejected.insert(slot);
    return;
  }
  m_ejected.erase(slot);
}

void UpstreamTable::OnProbe(const core::UpstreamId& id,
                            bool healthy,
                            const std::optional<LoadReport>& load,
                            core::TimePoint now) {
  Entry* entry = FindEntry(id);
  if (entry == nullptr) {
    return;
  }
  entry->health.OnProbe(healthy, now, m_random);
  UpdateEjectedSlots(*entry, now);
  if (load) {
    OnLoad(id, *load, now);
  }
}

const CandidateSet& UpstreamTable::CandidatesFor(
    const WorkTarget& target,
    const core::RuleId& rule,
    const std::vector<core::UpstreamId>& allowed) {
  const auto by_model = m_by_model.find(target.model);
  const auto by_service = m_by_service.find(target.service);
  const CandidateSet* all = &m_empty_set;
  if (by_model != m_by_model.end()) {
    all = &by_model->second;
  } else if (by_service != m_by_service.end()) {
    all = &by_service->second;
  }
  // Target names come from callers, so only known ones are cached.
  if (allowed.empty() || all->empty()) {
    return *all;
  }
  const std::string key = RuleKey(target, rule);
  const auto cached = m_by_rule.find(key);
  if (cached != m_by_rule.end()) {
    return cached->second;
  }
  CandidateSet set;
  for (const core::UpstreamId& id : allowed) {
    const Entry* entry = FindEntry(id);
    if (entry == nullptr || entry->removed || !Serves(entry->info, target)) {
      continue;
    }
    set.push_back(*SlotOf(id));
  }
  SortByHash(set);
  return m_by_rule.emplace(key, std::move(set)).first->second;
}

bool UpstreamTable::Serves(const UpstreamInfo& info, const WorkTarget& target) {
  if (target.model.empty()) {
    return info.service == target.service;
  }
  return std::find(info.models.begin(), info.models.end(), target.model) !=
         info.models.end();
}

Candidate UpstreamTable::Inspect(UpstreamSlot slot,
                                 v1::AdmissionClass admission_class,
                                 const core::FailureDomainId& own_domain,
                                 core::TimePoint now) const {
  const Entry& entry = *m_entries[slot.value()];
  const bool report_counts =
      entry.reported && now - entry.reported_at < m_options.report_max_age;
  Candidate candidate;
  candidate.slot = slot;
  candidate.id_hash = entry.id_hash;
  candidate.health = entry.health.state(now);
  candidate.same_domain = entry.info.failure_domain == own_domain;
  candidate.own = entry.own;
  candidate.others =
      report_counts ? static_cast<uint32_t>(
                          std::lround(m_options.report_weight * entry.others))
                    : 0;
  candidate.queued = report_counts ? entry.queued : 0;
  candidate.limit = LimitFor(entry, admission_class, now);
  candidate.hard_cap = entry.limit.hard_cap();
  candidate.weight = entry.health.weight(now);
  candidate.usability = UsabilityOf(entry, candidate.limit, now);
  return candidate;
}

uint32_t UpstreamTable::LimitFor(const Entry& entry,
                                 v1::AdmissionClass admission_class,
                                 core::TimePoint now) const {
  double limit = entry.limit.value();
  switch (admission_class) {
    case v1::GATE:
      // Engines schedule by priority. A GATE request that waited here for a
      // limit used up by BATCH requests would wait longer than in the engine.
      limit = entry.limit.hard_cap();
      break;
    case v1::BATCH:
      limit *= m_options.batch_share;
      break;
    default:
      limit *= m_options.interactive_share;
      break;
  }
  limit *= entry.health.weight(now);
  return static_cast<uint32_t>(std::max(limit, 1.0));
}

Usability UpstreamTable::UsabilityOf(const Entry& entry,
                                     uint32_t limit,
                                     core::TimePoint now) {
  if (entry.leaving || entry.removed) {
    return Usability::kLeaving;
  }
  const bool ejected = entry.health.state(now) == HealthState::kEjected;
  if (ejected && !entry.health.ejected_by_ratio()) {
    return Usability::kEjected;
  }
  if (now < entry.held_off_until) {
    return Usability::kHeldOff;
  }
  if (entry.own >= limit) {
    return Usability::kBusy;
  }
  return ejected ? Usability::kLastResort : Usability::kUsable;
}

uint64_t UpstreamTable::IdHash(UpstreamSlot slot) const {
  return m_entries[slot.value()]->id_hash;
}

const UpstreamInfo& UpstreamTable::InfoOf(UpstreamSlot slot) const {
  return m_entries[slot.value()]->info;
}

const UpstreamInfo* UpstreamTable::Find(const core::UpstreamId& id) const {
  const Entry* entry = FindEntry(id);
  return entry == nullptr ? nullptr : &entry->info;
}

std::optional<UpstreamSlot> UpstreamTable::SlotOf(
    const core::UpstreamId& id) const {
  const auto found = m_slots.find(id);
  if (found == m_slots.end()) {
    return std::nullopt;
  }
  return UpstreamSlot(found->second);
}

uint32_t UpstreamTable::InProgress(const core::UpstreamId& id) const {
  const Entry* entry = FindEntry(id);
  return entry == nullptr ? 0 : entry->own;
}

std::vector<UpstreamSlot> UpstreamTable::Slots() const {
  std::vector<UpstreamSlot> slots;
  for (size_t slot = 0; slot < m_entries.size(); ++slot) {
    if (m_entries[slot] != nullptr) {
      slots.emplace_back(slot);
    }
  }
  return slots;
}

UpstreamTable::Entry* UpstreamTable::FindEntry(const core::UpstreamId& id) {
  const auto found = m_slots.find(id);
  return found == m_slots.end() ? nullptr : m_entries[found->second].get();
}

const UpstreamTable::Entry* UpstreamTable::FindEntry(
    const core::UpstreamId& id) const {
  const auto found = m_slots.find(id);
  return found == m_slots.end() ? nullptr : m_entries[found->second].get();
}

void UpstreamTable::EndAttempt(Entry& entry) {
  if (entry.own > 0) {
    --entry.own;
  }
}

void UpstreamTable::RemoveIfIdle(const core::UpstreamId& id) {
  const Entry* entry = FindEntry(id);
  if (entry == nullptr || !entry->removed || entry->own > 0) {
    return;
  }
  const size_t slot = m_slots[id];
  m_entries[slot].reset();
  m_ejected.erase(slot);
  m_free_slots.push_back(slot);
  m_slots.erase(id);
}

}  // namespace coppervalve::routing
