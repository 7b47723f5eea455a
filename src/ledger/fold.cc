#include "coppervalve/ledger/fold.h"

#include <bit>      // bit_ceil
#include <string>   // to_string
#include <utility>  // move

#include "coppervalve/ledger/detail/entry_context.h"
#include "coppervalve/ledger/detail/record_handlers.h"
#include "coppervalve/ledger/detail/state.h"

namespace coppervalve::ledger {

using core::Incarnation;
using core::LogOffset;
using core::Sequence;
using detail::EntryContext;

namespace {

/// Number of budgets up to which checkpoint_interval is not extended.
constexpr size_t kBudgetsPerInterval = 512;

bool IsOperatorRecord(v1::Record::BodyCase body) {
  return body == v1::Record::kConfigPublished ||
         body == v1::Record::kToppedUp ||
         body == v1::Record::kQuarantineReleased;
}

// Kinds of records that any writer may write.
bool IsSharedRecord(v1::Record::BodyCase body) {
  return body == v1::Record::kRouterRetired ||
         body == v1::Record::kOrderIssued || body == v1::Record::kOrderEnded ||
         body == v1::Record::kSnapshot;
}

// Kinds of records that a retired incarnation may still write: reports about
// its own past.
bool IsFinalRecord(v1::Record::BodyCase body) {
  return body == v1::Record::kSpendFinalized ||
         body == v1::Record::kTransferRecorded;
}

std::optional<IgnoreReason> CheckWriter(EntryContext& context,
                                        v1::Record::BodyCase body) {
  if (body == v1::Record::BODY_NOT_SET) {
    return IgnoreReason::kEmpty;
  }
  if (IsSharedRecord(body) && context.from_operator()) {
    return std::nullopt;
  }
  if (!IsSharedRecord(body) &&
      IsOperatorRecord(body) != context.from_operator()) {
    return IgnoreReason::kNotAllowed;
  }
  const Member* writer = context.writer();
  if (writer != nullptr && !writer->live() && !IsFinalRecord(body)) {
    return IgnoreReason::kRetired;
  }
  return std::nullopt;
}

void FoldRecord(EntryContext& context, const v1::Record& r, size_t index) {
  if (const auto reason = CheckWriter(context, r.body_case())) {
    context.Ignore(*reason);
    return;
  }
  switch (r.body_case()) {
    case v1::Record::kConfigPublished:
      return FoldConfigPublished(context, r.config_published());
    case v1::Record::kToppedUp:
      return FoldToppedUp(context, r.topped_up());
    case v1::Record::kRouterRetired:
      return FoldRouterRetired(context, r.router_retired());
    case v1::Record::kAllotmentRequested:
      return FoldAllotmentRequested(context, r.allotment_requested());
    case v1::Record::kSpendReported:
      return FoldSpendReported(context, r.spend_reported());
    case v1::Record::kAllotmentReturned:
      return FoldAllotmentReturned(context, r.allotment_returned());
    case v1::Record::kWitnessChosen:
      return FoldWitnessChosen(context, r.witness_chosen());
    case v1::Record::kQuarantineNarrowed:
      return FoldQuarantineNarrowed(context, r.quarantine_narrowed());
    case v1::Record::kSpendFinalized:
      return FoldSpendFinalized(context, r.spend_finalized());
    case v1::Record::kQuarantineReleased:
      return FoldQuarantineReleased(context, r.quarantine_released(), index);
    case v1::Record::kKeyClaimed:
      return FoldKeyClaimed(context, r.key_claimed());
    case v1::Record::kTransferRecorded:
      return FoldTransferRecorded(context, r.transfer_recorded());
    case v1::Record::kSnapshot:
      return FoldSnapshot(context, r.snapshot());
    case v1::Record::kOrderIssued:
      return FoldOrderIssued(context, r.order_issued(), index);
    case v1::Record::kOrderTaken:
      return FoldOrderTaken(context, r.order_taken());
    case v1::Record::kOrderEnded:
      return FoldOrderEnded(context, r.order_ended(), index);
    case v1::Record::kConfigConfirmed:
      return FoldConfigConfirmed(context, r.config_confirmed());
    case v1::Record::kDrainStarted:
      return FoldDrainStarted(context);
    case v1::Record::kRouterJoined:
      // A join is valid only as the first record of an unknown incarnation.
      return context.Ignore(IgnoreReason::kInvalid);
    case v1::Record::BODY_NOT_SET:
      return;
  }
}

void FoldRecords(EntryContext& context, int first) {
  const auto& records = context.entry().records();
  for (int i = first; i < records.size(); ++i) {
    FoldRecord(context, records[i], static_cast<size_t>(i));
  }
  if (records.empty()) {
    context.Ignore(IgnoreReason::kEmpty);
  }
}

bool StartsWithJoin(const v1::Entry& entry) {
  return !entry.records().empty() && entry.records(0).has_router_joined();
}

// A writer repeats an entry when the reply to its append was lost. The sequence
// number identifies the copy, so the entry is applied once. A gap cannot come
// from a writer that has one append outstanding, so such an entry is ignored.
std::optional<IgnoreReason> CheckSequence(const Member& member,
                                          Sequence sequence) {
  if (sequence <= member.last_sequence) {
    return IgnoreReason::kDuplicate;
  }
  if (sequence.value() != member.last_sequence.value() + 1) {
    return IgnoreReason::kSequenceGap;
  }
  return std::nullopt;
}

void FoldMemberEntry(EntryContext& context, Member& member, int first) {
  member.last_sequence = context.sequence();
  member.last_offset = context.offset();
  context.set_writer(&member);
  context.state().quorum.OnSeen(member.incarnation,
                                LogOffset(context.entry().seen_offset()));
  FoldRecords(context, first);
}

void FoldJoiningEntry(EntryContext& context) {
  Member* member =
      FoldRouterJoined(context, context.entry().records(0).router_joined());
  if (member != nullptr) {
    FoldMemberEntry(context, *member, 1);
  }
}

void FoldRouterEntry(EntryContext& context) {
  const v1::Entry& entry = context.entry();
  Member* member = context.state().members.Find(
      core::RouterId(entry.writer()), Incarnation(entry.incarnation()));
  if (member == nullptr && StartsWithJoin(entry)) {
    return FoldJoiningEntry(context);
  }
  if (member == nullptr) {
    return context.Ignore(IgnoreReason::kUnknownWriter);
  }
  if (const auto reason = CheckSequence(*member, context.sequence())) {
    return context.Ignore(*reason);
  }
  FoldMemberEntry(context, *member, 0);
}

// A snapshot that is appended at the very offset at which it was taken can be
// compared as well, if the digest is stored before the entry is applied.
bool HasSnapshotOf(const v1::Entry& entry, LogOffset offset) {
  for (const v1::Record& record : entry.records()) {
    if (record.has_snapshot() && record.snapshot().offset() == offset.value()) {
      return true;
    }
  }
  return false;
}

// A checkpoint hashes the whole state, so it is taken less often when the state
// is large. The factor depends only on the state, so all readers use the same
// offsets.
bool IsCheckpoint(const detail::State& state) {
  const uint64_t factor =
      std::bit_ceil(state.budgets.size() / kBudgetsPerInterval + 1);
  const uint64_t interval = state.settings.checkpoint_interval * factor;
  return interval != 0 && state.next_offset.value() % interval == 0;
}

core::Error LogGapError(LogOffset expected, LogOffset offset) {
  return {core::ErrorId::kLogGap, std::to_string(offset.value()),
          "expected offset " + std::to_string(expected.value())};
}

}  // namespace

Fold::Fold(FoldSettings settings) : m_state(std::make_unique<detail::State>()) {
  m_state->settings = settings;
}

Fold::Fold(std::unique_ptr<detail::State> state) : m_state(std::move(state)) {}
Fold::~Fold() = default;
Fold::Fold(Fold&& other) noexcept = default;
Fold& Fold::operator=(Fold&& other) noexcept = default;

core::Result<std::vector<Effect>> Fold::Apply(LogOffset offset,
                                              const v1::Entry& entry) {
  detail::State& state = *m_state;
  if (state.failure.has_value()) {
    return *state.failure;
  }
  if (offset < state.next_offset) {
    return std::vector<Effect>{};
  }
  if (offset > state.next_offset) {
    return LogGapError(state.next_offset, offset);
  }
  if (HasSnapshotOf(entry, offset)) {
    StoreDigest(state);
  }
  Prune(state, offset);
  EntryContext context(state, offset, entry);
  if (context.from_operator()) {
    FoldRecords(context, 0);
  } else {
    FoldRouterEntry(context);
  }
  ApplyReadyChanges(context);
  context.FinishEntry();
  if (context.failure().has_value()) {
    state.failure = context.failure();
    return *state.failure;
  }
  state.next_offset = LogOffset(offset.value() + 1);
  if (IsCheckpoint(state)) {
    StoreDigest(state);
  }
  return context.TakeEffects();
}

bool Fold::IsVoter(Incarnation incarnation) const {
  return m_state->quorum.IsVoter(incarnation);
}

size_t Fold::voters() const {
  return m_state->quorum.voters().size();
}

core::ConfigVersion Fold::known_version() const {
  const bool waits = m_state->quorum.PendingProposal() != nullptr;
  return core::ConfigVersion(config_version().value() + (waits ? 1 : 0));
}

LogOffset Fold::next_offset() const {
  return m_state->next_offset;
}

core::ConfigVersion Fold::config_version() const {
  return m_state->config.version;
}

std::shared_ptr<const v1::Configuration> Fold::configuration() const {
  return m_state->config.configuration;
}

LogOffset Fold::config_offset() const {
  return m_state->config.offset;
}

const std::string& Fold::config_operator() const {
  return m_state->config.operator_name;
}

const std::string& Fold::config_change_id() const {
  return m_state->config.change_id;
}

const Budget* Fold::FindBudget(const core::BudgetId& budget) const {
  return std::as_const(m_state->budgets).Find(budget);
}

std::vector<const Budget*> Fold::Budgets() const {
  return m_state->budgets.Sorted();
}

const Member* Fold::FindMember(const core::RouterId& router,
                               Incarnation incarnation) const {
  return std::as_const(m_state->members).Find(router, incarnation);
}

const Member* Fold::FindLive(const core::RouterId& router) const {
  return std::as_const(m_state->members).FindLive(router);
}

std::vector<const Member*> Fold::LiveMembers() const {
  return m_state->members.Live();
}

std::vector<const Member*> Fold::RetiredMembers() const {
  return m_state->members.Retired();
}

const Holding* Fold::FindHolding(Incarnation incarnation,
                                 const core::BudgetId& budget) const {
  const Member* member = std::as_const(m_state->members).Find(incarnation);
  if (member == nullptr) {
    return nullptr;
  }
  const auto found = member->holdings.find(budget);
  return found == member->holdings.end() ? nullptr : &found->second;
}

const Claim* Fold::FindClaim(const core::Hash128& key_hash) const {
  return m_state->claims.Find(key_hash);
}

bool Fold::IsBilled(const core::Hash128& key_hash) const {
  return m_state->billed_keys.Find(key_hash) != nullptr;
}

const Order* Fold::FindOrder(const core::UpstreamId& upstream) const {
  const auto found = m_state->orders.find(upstream);
  return found == m_state->orders.end() ? nullptr : &found->second;
}

std::vector<const Order*> Fold::Orders() const {
  std::vector<const Order*> orders;
  for (const auto& [upstream, order] : m_state->orders) {
    orders.push_back(&order);
  }
  return orders;
}

size_t Fold::AvailableLoads() const {
  return detail::AvailableLoads(*m_state);
}

core::Status Fold::CheckConservation() const {
  return detail::CheckConservation(*m_state);
}

v1::FoldState Fold::ToState() const {
  return detail::Encode(*m_state);
}

core::Result<Fold> Fold::FromState(const v1::FoldState& state,
                                   FoldSettings settings) {
  auto decoded = std::make_unique<detail::State>();
  decoded->settings = settings;
  const core::Status status = detail::Decode(state, *decoded);
  if (!core::IsOk(status)) {
    return core::Failure(status);
  }
  StoreDigest(*decoded);
  return Fold(std::move(decoded));
}

uint64_t Fold::Digest() const {
  return detail::Digest(*m_state);
}

std::optional<LogOffset> Fold::last_checkpoint() const {
  if (m_state->digests.empty()) {
    return std::nullopt;
  }
  return m_state->digests.rbegin()->first;
}

}  // namespace coppervalve::ledger
