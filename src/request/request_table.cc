#include "coppervalve/request/request_table.h"

#include <algorithm>  // find, max
#include <utility>    // exchange, move

namespace coppervalve::request {

RequestTable::RequestTable(Origin self, TableHooks hooks, TableLimits limits)
    : m_self(std::move(self)),
      m_hooks(std::move(hooks)),
      m_limits(limits),
      m_expired_keys(limits.expired_keys_per_generation) {
  m_limits.max_kept = std::max<size_t>(m_limits.max_kept, 1);
}

void RequestTable::Adopt(RequestTable previous) {
  Origin self = std::move(m_self);
  TableHooks hooks = std::move(m_hooks);
  *this = std::move(previous);
  m_adopted.push_back(std::exchange(m_self, std::move(self)));
  m_hooks = std::move(hooks);
}

void RequestTable::SetAnswerKeep(core::Duration answer_keep) {
  m_limits.answer_keep = answer_keep;
}

KeyVerdict RequestTable::OnArrival(core::TimePoint now,
                                   const Arrival& arrival) {
  ExpireKept(now);
  RequestRecord request;
  request.id = arrival.id;
  request.account = arrival.account;
  request.body_hash = arrival.body_hash;
  request.non_idempotent = arrival.non_idempotent;
  request.admission_class = arrival.admission_class;
  request.forwarded = arrival.forwarded;
  request.arrived = now;
  std::optional<Origin> origin;
  if (arrival.key) {
    request.key = arrival.key->IdentityFor(arrival.account);
    origin = arrival.key->origin();
  }
  Decision decision =
      Decide({request, origin, arrival.log_available, arrival.fold_current});
  if (std::optional<Refuse> refusal = RefuseIfClosed(arrival, decision)) {
    return *refusal;
  }
  return Admit(now, std::move(request), std::move(decision));
}

KeyVerdict RequestTable::Admit(core::TimePoint now,
                               RequestRecord request,
                               Decision decision) {
  if (std::holds_alternative<Refuse>(decision.verdict)) {
    RemoveJoiners(request.joiners);
    return decision.verdict;
  }
  if (std::optional<Refuse> refusal = RefuseIfFull(request, decision)) {
    RemoveJoiners(request.joiners);
    return *refusal;
  }
  request.exclusive_target = decision.exclusive_target;
  request.may_have_run = request.may_have_run || decision.may_have_run;
  if (const auto* join = std::get_if<Join>(&decision.verdict)) {
    MoveJoiners(request.joiners, join->leader);
    request.joiners.clear();
    Slot* leader = FindOpen(join->leader);
    // A complete answer is sent immediately, so the request does not wait.
    if (leader == nullptr) {
      return decision.verdict;
    }
    leader->record.joiners.push_back(request.id);
    request.leader = join->leader;
    request.phase = leader->record.phase;
  } else if (std::holds_alternative<ForwardTo>(decision.verdict)) {
    request.phase = Phase::kForwarded;
  } else {
    const bool claims = std::holds_alternative<NeedClaim>(decision.verdict);
    request.phase = claims ? Phase::kWaitingClaim : Phase::kQueued;
  }
  Insert(now, std::move(request));
  return decision.verdict;
}

/// Removes the joiners of a request that ends; they get its answer.
void RequestTable::RemoveJoiners(const Waiters& joiners) {
  for (const core::RequestId joiner : joiners) {
    m_records.erase(joiner);
    --m_open;
  }
}

void RequestTable::MoveJoiners(const Waiters& joiners, core::RequestId leader) {
  Slot* slot = FindOpen(leader);
  if (slot == nullptr) {
    RemoveJoiners(joiners);
    return;
  }
  for (const core::RequestId joiner : joiners) {
    m_records.at(joiner).record.leader = leader;
    slot->record.joiners.push_back(joiner);
  }
}

void RequestTable::Insert(core::TimePoint now, RequestRecord request) {
  request.changed = now;
  const core::RequestId id = request.id;
  const bool leads =
      request.key && !request.leader && request.phase != Phase::kForwarded;
  if (leads) {
    const auto previous = m_by_key.find(*request.key);
    if (previous != m_by_key.end()) {
      RemoveRecord(previous->second);
    }
    m_by_key[*request.key] = id;
  }
  if (IsTombstone(request)) {
    ++m_tombstones;
  }
  ++m_open;
  m_records[id].record = std::move(request);
}

/// Removes an open request, to be decided again or dropped.
std::optional<RequestRecord> RequestTable::Extract(core::RequestId id) {
  Slot* slot = FindOpen(id);
  if (slot == nullptr) {
    return std::nullopt;
  }
  RequestRecord request = std::move(slot->record);
  if (IsTombstone(request)) {
    --m_tombstones;
  }
  if (request.key) {
    const auto indexed = m_by_key.find(*request.key);
    if (indexed != m_by_key.end() && indexed->second == id) {
      m_by_key.erase(indexed);
    }
  }
  m_records.erase(id);
  --m_open;
  return request;
}

void RequestTable::OnClaimWon(core::TimePoint now, core::RequestId id) {
  if (Slot* slot = FindOpen(id)) {
    // This is the first claim of the key, so the request has not run before.
    slot->record.may_have_run = false;
    SetPhase(now, *slot, Phase::kQueued);
  }
}

void RequestTable::OnQueued(core::TimePoint now, core::RequestId id) {
  Enter(now, id, Phase::kQueued);
}

void RequestTable::OnReserved(core::TimePoint now,
                              core::RequestId id,
                              const core::UpstreamId& upstream) {
  if (Slot* slot = FindOpen(id)) {
    slot->record.upstream = upstream;
    SetPhase(now, *slot, Phase::kReserved);
  }
}

void RequestTable::OnSent(core::TimePoint now, core::RequestId id) {
  if (Slot* slot = FindOpen(id)) {
    ++slot->record.attempts;
    ++slot->record.sent_attempts;
    SetPhase(now, *slot, Phase::kRunning);
  }
}

void RequestTable::OnAttemptNotRun(core::TimePoint now, core::RequestId id) {
  Slot* slot = FindOpen(id);
  if (slot == nullptr) {
    return;
  }
  if (slot->record.sent_attempts > 0) {
    --slot->record.sent_attempts;
  }
  SetPhase(now, *slot, Phase::kQueued);
}

bool RequestTable::MayRetry(core::RequestId id) const {
  const RequestRecord* record = Find(id);
  if (record == nullptr || IsFinal(record->phase)) {
    return false;
  }
  return !record->non_idempotent || record->sent_attempts == 0;
}

core::RunState RequestTable::RefusalRunState(core::RequestId id) const {
  const RequestRecord* record = Find(id);
  return record == nullptr ? core::RunState::kUnknown : RunStateOf(*record);
}

Waiters RequestTable::OnDone(core::TimePoint now,
                             core::RequestId id,
                             core::Bytes answer_size) {
  Slot* slot = FindOpen(id);
  if (slot == nullptr) {
    return {};
  }
  const bool keyed = slot->record.key.has_value();
  Waiters waiters = Finish(now, *slot, Phase::kDone, std::nullopt);
  if (!keyed) {
    m_expired.push_back(id);
    return waiters;
  }
  RetainAnswer(*slot, answer_size);
  return waiters;
}

Waiters RequestTable::OnFailed(core::TimePoint now,
                               core::RequestId id,
                               core::ErrorId error) {
  return FinishUnanswered(now, id, error);
}

Waiters RequestTable::OnRefused(core::TimePoint now,
                                core::RequestId id,
                                core::ErrorId error) {
  return FinishUnanswered(now, id, error);
}

Waiters RequestTable::FinishUnanswered(core::TimePoint now,
                                       core::RequestId id,
                                       core::ErrorId error) {
  Slot* slot = FindOpen(id);
  if (slot == nullptr) {
    return {};
  }
  // A request may be given up while an attempt of it still runs. Reporting "not
  // run" would be wrong and a retry would run it twice, so the sent attempts
  // decide, not the caller of this function.
  const bool sent = slot->record.sent_attempts > 0;
  return Finish(now, *slot, sent ? Phase::kFailed : Phase::kRefused, error);
}

DisconnectDecision RequestTable::OnCallerDisconnected(core::TimePoint now,
                                                      core::RequestId id) {
  Slot* slot = FindOpen(id);
  if (slot == nullptr) {
    return DisconnectDecision::kNothing;
  }
  RequestRecord& record = slot->record;
  if (record.leader) {
    std::vector<core::RequestId>& joiners =
        FindOpen(*record.leader)->record.joiners;
    joiners.erase(std::find(joiners.begin(), joiners.end(), id));
    Extract(id);
    return DisconnectDecision::kNothing;
  }
  if (record.phase == Phase::kForwarded && record.joiners.empty()) {
    Extract(id);
    return DisconnectDecision::kCancel;
  }
  record.caller_disconnected = true;
  record.changed = now;
  if (record.key) {
    return DisconnectDecision::kKeepRunning;
  }
  const bool sent = record.sent_attempts > 0;
  return record.non_idempotent && sent ? DisconnectDecision::kKeepRunning
                                       : DisconnectDecision::kCancel;
}

std::vector<core::RequestId> RequestTable::TakeExpired(core::TimePoint now) {
  ExpireKept(now);
  return std::exchange(m_expired, {});
}

const RequestRecord* RequestTable::Find(core::RequestId id) const {
  const auto found = m_records.find(id);
  return found == m_records.end() ? nullptr : &found->second.record;
}

const RequestRecord* RequestTable::FindKey(const core::Hash128& key) const {
  const auto found = m_by_key.find(key);
  return found == m_by_key.end() ? nullptr : Find(found->second);
}

RequestTable::Slot* RequestTable::FindOpen(core::RequestId id) {
  const auto found = m_records.find(id);
  if (found == m_records.end() || IsFinal(found->second.record.phase)) {
    return nullptr;
  }
  return &found->second;
}

void RequestTable::Enter(core::TimePoint now, core::RequestId id, Phase phase) {
  if (Slot* slot = FindOpen(id)) {
    SetPhase(now, *slot, phase);
  }
}

void RequestTable::SetPhase(core::TimePoint now, Slot& slot, Phase phase) {
  const bool was_tombstone = IsTombstone(slot.record);
  slot.record.phase = phase;
  slot.record.changed = now;
  if (was_tombstone && !IsTombstone(slot.record)) {
    --m_tombstones;
  }
}

Waiters RequestTable::Finish(core::TimePoint now,
                             Slot& slot,
                             Phase phase,
                             std::optional<core::ErrorId> error) {
  SetPhase(now, slot, phase);
  slot.record.error = error;
  --m_open;
  Waiters waiters = TakeWaiters(slot.record);
  if (slot.record.key) {
    RetainRecord(slot);
  } else {
    m_records.erase(slot.record.id);
  }
  return waiters;
}

Waiters RequestTable::TakeWaiters(RequestRecord& record) {
  Waiters waiters;
  if (!record.caller_disconnected) {
    waiters.push_back(record.id);
  }
  for (const core::RequestId joiner : record.joiners) {
    m_records.erase(joiner);
    --m_open;
    waiters.push_back(joiner);
  }
  record.joiners.clear();
  return waiters;
}

void RequestTable::RetainRecord(Slot& slot) {
  std::list<core::RequestId>& kept =
      IsTombstone(slot.record) ? m_protected : m_evictable;
  slot.kept_at = kept.insert(kept.end(), slot.record.id);
  if (m_evictable.size() > m_limits.max_kept) {
    RemoveRecord(m_evictable.front());
  }
}

void RequestTable::RetainAnswer(Slot& slot, core::Bytes size) {
  // An answer above the limit would evict all others and itself.
  if (size > m_limits.max_kept_bytes) {
    m_expired.push_back(slot.record.id);
    return;
  }
  slot.record.kept_answer = size;
  slot.answer_at = m_answers.insert(m_answers.end(), slot.record.id);
  m_kept_bytes += size;
  while (m_kept_bytes > m_limits.max_kept_bytes) {
    DropAnswer(m_records.at(m_answers.front()));
  }
}

void RequestTable::DropAnswer(Slot& slot) {
  if (!slot.record.kept_answer) {
    return;
  }
  m_kept_bytes -= *slot.record.kept_answer;
  m_answers.erase(slot.answer_at);
  m_expired.push_back(slot.record.id);
  slot.record.kept_answer.reset();
}

/// Removes the record of a final keyed request.
void RequestTable::RemoveRecord(core::RequestId id) {
  Slot& slot = m_records.at(id);
  DropAnswer(slot);
  if (IsTombstone(slot.record)) {
    --m_tombstones;
    m_expired_keys.Add(*slot.record.key);
    m_protected.erase(slot.kept_at);
  } else {
    m_evictable.erase(slot.kept_at);
  }
  m_by_key.erase(*slot.record.key);
  m_records.erase(id);
}

void RequestTable::ExpireKept(core::TimePoint now) {
  ExpireFrom(m_evictable, now);
  ExpireFrom(m_protected, now);
}

void RequestTable::ExpireFrom(std::list<core::RequestId>& kept,
                              core::TimePoint now) {
  while (!kept.empty()) {
    const RequestRecord& oldest = *Find(kept.front());
    if (now - oldest.changed < m_limits.answer_keep) {
      return;
    }
    RemoveRecord(oldest.id);
  }
}

}  // namespace coppervalve::request
