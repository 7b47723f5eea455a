#include <algorithm>      // stable_sort
#include <unordered_map>  // unordered_map

#include "coppervalve/ledger/detail/state.h"

namespace coppervalve::ledger::detail {

using core::BudgetId;
using core::ConfigVersion;
using core::Hash128;
using core::Incarnation;
using core::LogOffset;
using core::RouterId;
using core::Tokens;

namespace {

core::Error SnapshotError(const std::string& subject,
                          const std::string& detail) {
  return {core::ErrorId::kSnapshotInvalid, subject, detail};
}

// ---- Encoding --------------------------------------------------------------

void EncodePendingChange(const PendingChange& pending, v1::AwaitedState& to) {
  to.set_offset(pending.offset.value());
  if (const auto* joins = std::get_if<VoterJoins>(&pending.change)) {
    to.set_voter_joins(joins->incarnation.value());
  } else if (const auto* leaves = std::get_if<VoterLeaves>(&pending.change)) {
    to.set_voter_leaves(leaves->incarnation.value());
  } else if (const auto* proposal = std::get_if<Proposal>(&pending.change)) {
    *to.mutable_proposal() = proposal->published;
  }
}

void EncodeQuorum(const Quorum& quorum, v1::FoldState& to) {
  for (const auto& [incarnation, seen] : quorum.voters()) {
    v1::VoterState& voter = *to.add_voters();
    voter.set_incarnation(incarnation.value());
    voter.set_seen_offset(seen.value());
  }
  for (const PendingChange& pending : quorum.pending()) {
    EncodePendingChange(pending, *to.add_awaited());
  }
}

void EncodeConfig(const ConfigInForce& config, v1::FoldState& to) {
  to.set_config_version(config.version.value());
  to.set_config_change_id(config.change_id);
  to.set_config_operator(config.operator_name);
  to.set_config_offset(config.offset.value());
}

void EncodeBudget(const Budget& budget, v1::BudgetState& to) {
  to.set_id(budget.id.value());
  to.set_paid_in(budget.paid_in.value());
  to.set_paid_in_by_config(budget.paid_in_by_config.value());
  to.set_free(budget.free.value());
  to.set_billed(budget.billed.value());
  to.set_written_off(budget.written_off.value());
}

void EncodeHolding(const Member& member,
                   const Holding& holding,
                   v1::HoldingState& to) {
  to.set_router(member.id.value());
  to.set_incarnation(member.incarnation.value());
  to.set_received(holding.received.value());
  to.set_spent(holding.spent.value());
  to.set_written_off(holding.written_off.value());
  to.set_transferred_out(holding.transferred_out.value());
  to.set_released(holding.released.value());
  to.set_has_ceiling(holding.ceiling.has_value());
  to.set_ceiling(holding.ceiling.value_or(Tokens(0)).value());
}

void EncodeMember(const Member& member, v1::RouterState& to) {
  to.set_id(member.id.value());
  to.set_incarnation(member.incarnation.value());
  to.set_last_sequence(member.last_sequence.value());
  to.set_phase(member.phase);
  *to.mutable_joined() = member.joined;
  to.set_joined_offset(member.joined_offset.value());
  to.set_last_offset(member.last_offset.value());
  to.set_retired_offset(member.retired_offset.value());
  to.set_witness_router(member.witness.value());
  to.set_witness_incarnation(member.witness_incarnation.value());
  to.set_confirmed_config(member.confirmed_config.value());
  to.set_retire_reason(member.retire_reason);
  to.set_finalized(member.finalized);
}

void EncodeBudgets(const State& state, v1::FoldState& to) {
  std::unordered_map<BudgetId, v1::BudgetState*> by_id;
  for (const Budget* budget : state.budgets.Sorted()) {
    v1::BudgetState* encoded = to.add_budgets();
    EncodeBudget(*budget, *encoded);
    by_id.emplace(budget->id, encoded);
  }
  for (const Member* member : state.members.Sorted()) {
    EncodeMember(*member, *to.add_routers());
    for (const auto& [id, holding] : member->holdings) {
      EncodeHolding(*member, holding, *by_id.at(id)->add_holdings());
    }
  }
}

void EncodeClaim(const core::Hash128& key,
                 const Claim& claim,
                 v1::ClaimState& to) {
  to.set_key_hash(key.ToBytes());
  to.set_router(claim.router.value());
  to.set_incarnation(claim.incarnation.value());
  to.set_offset(claim.offset.value());
}

void EncodeBilledKey(const core::Hash128& key,
                     LogOffset offset,
                     v1::BilledKey& to) {
  to.set_key_hash(key.ToBytes());
  to.set_offset(offset.value());
}

void EncodeOperatorId(const std::string& id,
                      LogOffset offset,
                      v1::TopUpSeen& to) {
  to.set_top_up_id(id);
  to.set_offset(offset.value());
}

void EncodeTransfer(const TransferKey& key,
                    LogOffset offset,
                    v1::TransferSeen& to) {
  to.set_from_incarnation(key.from.value());
  to.set_transfer_id(key.transfer_id);
  to.set_offset(offset.value());
}

void EncodeDedupWindows(const State& state, v1::FoldState& to) {
  for (const auto& entry : state.claims.entries()) {
    EncodeClaim(entry.key, *state.claims.Find(entry.key), *to.add_claims());
  }
  for (const auto& entry : state.billed_keys.entries()) {
    EncodeBilledKey(entry.key, entry.offset, *to.add_billed_keys());
  }
  for (const auto& entry : state.operator_ids.entries()) {
    EncodeOperatorId(entry.key, entry.offset, *to.add_top_ups());
  }
  for (const auto& entry : state.transfers.entries()) {
    EncodeTransfer(entry.key, entry.offset, *to.add_transfers());
  }
}

void EncodeOrders(const State& state, v1::FoldState& to) {
  for (const auto& [upstream, order] : state.orders) {
    v1::OrderState* encoded = to.add_orders();
    encoded->set_upstream(upstream.value());
    encoded->set_fencing_number(order.fencing.value());
    *encoded->mutable_order() = order.order;
    encoded->set_outcome(order.outcome);
    encoded->set_holder_router(order.holder.value());
    encoded->set_holder_incarnation(order.holder_incarnation.value());
  }
}

// ---- Digest ----------------------------------------------------------------

// Hash seeds that distinguish parts with equal encodings.
enum class PartKind : uint64_t {
  kScalars,
  kConfiguration,
  kBudget,
  kMember,
  kClaim,
  kBilledKey,
  kOperatorId,
  kTransfer,
};

// Sums the hashes of the encoded parts of a state. The sum is independent of
// their order, so that large states need not be sorted for a comparison.
class PartsDigest {
 public:
  void Add(const google::protobuf::MessageLite& part, PartKind kind) {
    Add(part, static_cast<uint64_t>(kind));
  }

  void AddHolding(const v1::HoldingState& holding, const BudgetId& budget) {
    Add(holding, core::Hash64(budget.value()));
  }

  uint64_t value() const { return m_sum; }

 private:
  void Add(const google::protobuf::MessageLite& part, uint64_t seed) {
    part.SerializeToString(&m_buffer);
    m_sum += core::Hash64(m_buffer, seed);
  }

  std::string m_buffer;
  uint64_t m_sum = 0;
};

void AddMembers(const State& state, PartsDigest& digest) {
  v1::RouterState router;
  v1::HoldingState holding;
  for (const auto& [incarnation, member] : state.members.all()) {
    EncodeMember(member, router);
    digest.Add(router, PartKind::kMember);
    for (const auto& [id, held] : member.holdings) {
      EncodeHolding(member, held, holding);
      digest.AddHolding(holding, id);
    }
  }
}

void AddDedupWindows(const State& state, PartsDigest& digest) {
  v1::ClaimState claim;
  for (const auto& entry : state.claims.entries()) {
    EncodeClaim(entry.key, *state.claims.Find(entry.key), claim);
    digest.Add(claim, PartKind::kClaim);
  }
  v1::BilledKey billed;
  for (const auto& entry : state.billed_keys.entries()) {
    EncodeBilledKey(entry.key, entry.offset, billed);
    digest.Add(billed, PartKind::kBilledKey);
  }
  v1::TopUpSeen seen;
  for (const auto& entry : state.operator_ids.entries()) {
    EncodeOperatorId(entry.key, entry.offset, seen);
    digest.Add(seen, PartKind::kOperatorId);
  }
  v1::TransferSeen transfer;
  for (const auto& entry : state.transfers.entries()) {
    EncodeTransfer(entry.key, entry.offset, transfer);
    digest.Add(transfer, PartKind::kTransfer);
  }
}

// ---- Decoding --------------------------------------------------------------

void DecodeQuorum(const v1::FoldState& from, Quorum& quorum) {
  for (const v1::VoterState& voter : from.voters()) {
    quorum.Add(core::Incarnation(voter.incarnation()),
               LogOffset(voter.seen_offset()));
  }
  for (const v1::AwaitedState& encoded : from.awaited()) {
    PendingChange pending{LogOffset(encoded.offset()), {}};
    if (encoded.has_proposal()) {
      pending.change = Proposal{encoded.proposal()};
    } else if (encoded.has_voter_leaves()) {
      pending.change = VoterLeaves{core::Incarnation(encoded.voter_leaves())};
    } else {
      pending.change = VoterJoins{core::Incarnation(encoded.voter_joins())};
    }
    quorum.AddPending(std::move(pending));
  }
}

void DecodeConfig(const v1::FoldState& from, ConfigInForce& config) {
  config.version = ConfigVersion(from.config_version());
  config.offset = LogOffset(from.config_offset());
  config.operator_name = from.config_operator();
  config.change_id = from.config_change_id();
  config.configuration =
      std::make_shared<v1::Configuration>(from.configuration());
}

Member DecodeMember(const v1::RouterState& from) {
  Member member;
  member.id = RouterId(from.id());
  member.incarnation = Incarnation(from.incarnation());
  member.last_sequence = core::Sequence(from.last_sequence());
  member.phase = from.phase();
  member.joined = from.joined();
  member.joined_offset = LogOffset(from.joined_offset());
  member.last_offset = LogOffset(from.last_offset());
  member.retired_offset = LogOffset(from.retired_offset());
  member.witness = RouterId(from.witness_router());
  member.witness_incarnation = Incarnation(from.witness_incarnation());
  member.confirmed_config = ConfigVersion(from.confirmed_config());
  member.retire_reason = from.retire_reason();
  member.finalized = from.finalized();
  return member;
}

Holding DecodeHolding(const v1::HoldingState& from) {
  Holding holding;
  holding.received = Tokens(from.received());
  holding.spent = Tokens(from.spent());
  holding.written_off = Tokens(from.written_off());
  holding.transferred_out = Tokens(from.transferred_out());
  holding.released = Tokens(from.released());
  if (from.has_ceiling()) {
    holding.ceiling = Tokens(from.ceiling());
  }
  return holding;
}

// Retired members are added in the order of retirement, because Prune() removes
// them in that order.
core::Status DecodeMembers(const v1::FoldState& from, MemberTable& members) {
  std::vector<Member> sorted;
  for (const v1::RouterState& router : from.routers()) {
    sorted.push_back(DecodeMember(router));
  }
  std::stable_sort(sorted.begin(), sorted.end(),
                   [](const Member& a, const Member& b) {
                     return a.retired_offset < b.retired_offset;
                   });
  for (Member& member : sorted) {
    const bool valid = v1::RouterPhase_IsValid(member.phase) &&
                       member.phase != v1::ROUTER_PHASE_UNSPECIFIED;
    if (!valid || members.Find(member.incarnation) != nullptr) {
      return SnapshotError(member.id.value(),
                           "invalid phase or duplicate incarnation");
    }
    if (member.live() && members.FindLive(member.id) != nullptr) {
      return SnapshotError(member.id.value(), "has two live incarnations");
    }
    members.Add(std::move(member));
  }
  return core::Ok();
}

core::Status DecodeHoldings(const v1::BudgetState& from,
                            Budget& budget,
                            MemberTable& members) {
  for (const v1::HoldingState& encoded : from.holdings()) {
    Member* member = members.Find(RouterId(encoded.router()),
                                  Incarnation(encoded.incarnation()));
    if (member == nullptr) {
      return SnapshotError(budget.id.value(),
                           "has a holding of an unknown router");
    }
    const Holding holding = DecodeHolding(encoded);
    if (!member->holdings.emplace(budget.id, holding).second) {
      return SnapshotError(budget.id.value(),
                           "has two holdings of " + encoded.router());
    }
    budget.held += holding.held();
    if (!member->live()) {
      budget.quarantined += holding.held();
    }
  }
  return core::Ok();
}

core::Status DecodeBudgets(const v1::FoldState& from, State& state) {
  for (const v1::BudgetState& encoded : from.budgets()) {
    const BudgetId id(encoded.id());
    if (state.budgets.Find(id) != nullptr) {
      return SnapshotError(encoded.id(), "budget listed twice");
    }
    Budget& budget = state.budgets.Declare(id);
    budget.paid_in = Tokens(encoded.paid_in());
    budget.paid_in_by_config = Tokens(encoded.paid_in_by_config());
    budget.free = Tokens(encoded.free());
    budget.billed = Tokens(encoded.billed());
    budget.written_off = Tokens(encoded.written_off());
    core::Status status = DecodeHoldings(encoded, budget, state.members);
    if (!core::IsOk(status)) {
      return status;
    }
  }
  return core::Ok();
}

core::Status DecodePolicies(const v1::FoldState& from, BudgetTable& budgets) {
  for (const v1::Budget& declared : from.configuration().budgets()) {
    Budget* budget = budgets.Find(BudgetId(declared.id()));
    if (budget == nullptr) {
      return SnapshotError(declared.id(), "is configured but has no balance");
    }
    ApplyPolicy(declared, *budget);
  }
  return core::Ok();
}

void DecodeDedupWindows(const v1::FoldState& from, State& state) {
  for (const v1::ClaimState& encoded : from.claims()) {
    const LogOffset offset(encoded.offset());
    state.claims.Insert(offset, Hash128::FromBytes(encoded.key_hash()),
                        Claim{RouterId(encoded.router()),
                              Incarnation(encoded.incarnation()), offset});
  }
  for (const v1::BilledKey& encoded : from.billed_keys()) {
    state.billed_keys.Insert(LogOffset(encoded.offset()),
                             Hash128::FromBytes(encoded.key_hash()), {});
  }
  for (const v1::TopUpSeen& encoded : from.top_ups()) {
    state.operator_ids.Insert(LogOffset(encoded.offset()), encoded.top_up_id(),
                              {});
  }
  for (const v1::TransferSeen& encoded : from.transfers()) {
    const TransferKey key{Incarnation(encoded.from_incarnation()),
                          encoded.transfer_id()};
    state.transfers.Insert(LogOffset(encoded.offset()), key, {});
  }
}

void DecodeOrders(const v1::FoldState& from, State& state) {
  for (const v1::OrderState& encoded : from.orders()) {
    state.orders[core::UpstreamId(encoded.upstream())] =
        Order{core::FencingNumber(encoded.fencing_number()), encoded.order(),
              encoded.outcome(), RouterId(encoded.holder_router()),
              Incarnation(encoded.holder_incarnation())};
  }
}

}  // namespace

v1::FoldState Encode(const State& state) {
  v1::FoldState to;
  to.set_next_offset(state.next_offset.value());
  EncodeConfig(state.config, to);
  EncodeQuorum(state.quorum, to);
  *to.mutable_configuration() = *state.config.configuration;
  EncodeBudgets(state, to);
  EncodeDedupWindows(state, to);
  EncodeOrders(state, to);
  return to;
}

core::Status Decode(const v1::FoldState& from, State& state) {
  state.next_offset = LogOffset(from.next_offset());
  DecodeConfig(from, state.config);
  DecodeQuorum(from, state.quorum);
  core::Status status = DecodeMembers(from, state.members);
  if (core::IsOk(status)) {
    status = DecodeBudgets(from, state);
  }
  if (core::IsOk(status)) {
    status = DecodePolicies(from, state.budgets);
  }
  if (!core::IsOk(status)) {
    return status;
  }
  DecodeDedupWindows(from, state);
  DecodeOrders(from, state);
  return CheckConservation(state);
}

uint64_t Digest(const State& state) {
  PartsDigest digest;
  v1::FoldState scalars;
  scalars.set_next_offset(state.next_offset.value());
  EncodeConfig(state.config, scalars);
  EncodeQuorum(state.quorum, scalars);
  EncodeOrders(state, scalars);
  digest.Add(scalars, PartKind::kScalars);
  digest.Add(*state.config.configuration, PartKind::kConfiguration);
  v1::BudgetState encoded;
  for (const auto& [id, budget] : state.budgets.all()) {
    EncodeBudget(budget, encoded);
    digest.Add(encoded, PartKind::kBudget);
  }
  AddMembers(state, digest);
  AddDedupWindows(state, digest);
  return digest.value();
}

}  // namespace coppervalve::ledger::detail
