#include "coppervalve/orders/order_manager.h"

#include <algorithm>  // count_if, find_if, min, sort
#include <set>        // set
#include <utility>    // exchange, move

#include "coppervalve/core/hash.h"

namespace coppervalve::orders {

using core::Duration;
using core::FencingNumber;
using core::TimePoint;
using core::UpstreamId;

namespace {

const v1::Upstream* FindUpstream(const v1::Configuration& configuration,
                                 const std::string& id) {
  const auto& upstreams = configuration.upstreams();
  const auto found = std::find_if(
      upstreams.begin(), upstreams.end(),
      [&id](const v1::Upstream& upstream) { return upstream.id() == id; });
  return found == upstreams.end() ? nullptr : &*found;
}

const ledger::Member* LiveHolder(const ledger::Fold& fold,
                                 const ledger::Order& order) {
  const ledger::Member* holder =
      fold.FindMember(order.holder, order.holder_incarnation);
  return holder != nullptr && holder->live() ? holder : nullptr;
}

// The loads that the capacity of the weight store admits, oldest first, so that
// all routers choose the same ones.
std::set<FencingNumber> AdmittedLoads(const ledger::Fold& fold) {
  std::vector<FencingNumber> waiting;
  for (const ledger::Order* order : fold.Orders()) {
    if (order->open() && order->loads() &&
        LiveHolder(fold, *order) == nullptr) {
      waiting.push_back(order->fencing);
    }
  }
  std::sort(waiting.begin(), waiting.end());
  waiting.resize(std::min(waiting.size(), fold.AvailableLoads()));
  return {waiting.begin(), waiting.end()};
}

// A refusal does not show whether an earlier attempt without a reply had an
// effect.
v1::OrderOutcome OutcomeOf(SendOutcome outcome, bool may_have_arrived) {
  if (outcome == SendOutcome::kDone) {
    return v1::DONE;
  }
  return may_have_arrived ? v1::OUTCOME_UNKNOWN : v1::REFUSED;
}

}  // namespace

OrderManager::OrderManager(membership::MemberId self,
                           OrderManagerOptions options)
    : m_self(std::move(self)), m_options(options) {}

void OrderManager::Update(TimePoint now, const ledger::Fold& fold) {
  std::set<UpstreamId> open;
  for (const ledger::Order* order : fold.Orders()) {
    if (!order->open()) {
      continue;
    }
    const UpstreamId upstream(order->order.upstream());
    open.insert(upstream);
    Job& job = m_open[upstream];
    if (job.fencing != order->fencing) {
      job = Job{};
      job.fencing = order->fencing;
      job.order = order->order;
    }
    Refresh(now, fold, job);
  }
  std::erase_if(m_open, [&open](const auto& entry) {
    return !open.contains(entry.first);
  });
  if (m_open.empty()) {
    return;
  }
  const std::set<FencingNumber> loads = AdmittedLoads(fold);
  for (auto& [upstream, job] : m_open) {
    const bool load =
        job.order.has_load_model() || job.order.has_load_adapter();
    job.available = job.available && (!load || loads.contains(job.fencing));
  }
}

void OrderManager::Refresh(TimePoint now, const ledger::Fold& fold, Job& job) {
  const auto configuration = fold.configuration();
  const v1::Upstream* upstream =
      FindUpstream(*configuration, job.order.upstream());
  job.configured = upstream != nullptr;
  job.checks_fencing = job.configured && upstream->checks_fencing();
  job.address = job.configured ? upstream->address() : std::string();

  const UpstreamId id(job.order.upstream());
  const ledger::Order& order = *fold.FindOrder(id);
  const bool was_taken_here = job.taken_here;
  job.taken_here = order.taken() && order.holder == m_self.router &&
                   order.holder_incarnation == m_self.incarnation;
  if (job.taken_here != was_taken_here) {
    job.record_pending = false;
    job.due = now;
  }
  const bool was_available = job.available;
  job.available = LiveHolder(fold, order) == nullptr && job.configured &&
                  (!order.taken() || job.checks_fencing);
  // The delay starts when the order becomes available. Otherwise the
  // first-ranked router would have no head start after a holder was retired.
  if (job.available && !was_available) {
    job.due = now + StartDelay(fold, id);
  }
}

Duration OrderManager::StartDelay(const ledger::Fold& fold,
                                  const UpstreamId& upstream) const {
  const auto rank = [&upstream](const membership::MemberId& id) {
    return core::RendezvousRank(upstream.value(),
                                membership::RendezvousName(id));
  };
  const uint64_t own = rank(m_self);
  Duration start{};
  for (const ledger::Member* member : fold.LiveMembers()) {
    if (rank({member->id, member->incarnation}) > own) {
      start += m_options.stagger;
    }
  }
  return start;
}

Duration OrderManager::Backoff(uint32_t attempts) const {
  Duration delay = m_options.initial_backoff;
  for (uint32_t i = 1; i < attempts && delay < m_options.max_backoff; ++i) {
    delay *= 2;
  }
  return std::min(delay, m_options.max_backoff);
}

OrderManager::Job* OrderManager::Find(const UpstreamId& upstream,
                                      FencingNumber fencing) {
  const auto found = m_open.find(upstream);
  return found != m_open.end() && found->second.fencing == fencing
             ? &found->second
             : nullptr;
}

void OrderManager::OnTakeRefused(TimePoint now,
                                 const UpstreamId& upstream,
                                 FencingNumber fencing) {
  Job* job = Find(upstream, fencing);
  if (job == nullptr || job->taken_here) {
    return;
  }
  job->record_pending = false;
  job->due = now + m_options.initial_backoff;
}

void OrderManager::OnSent(TimePoint now,
                          const UpstreamId& upstream,
                          FencingNumber fencing,
                          SendOutcome outcome) {
  const auto sending = m_sending.find(upstream);
  if (sending == m_sending.end() || sending->second != fencing) {
    return;
  }
  m_sending.erase(sending);
  Job* job = Find(upstream, fencing);
  if (job == nullptr) {
    return;  // replaced by a newer order
  }
  job->due = now + Backoff(job->attempts);
  if (outcome == SendOutcome::kDone || outcome == SendOutcome::kRefused) {
    job->record_pending = true;
    m_results.push_back(
        {upstream, fencing, OutcomeOf(outcome, job->may_have_arrived)});
    return;
  }
  job->may_have_arrived =
      job->may_have_arrived || outcome == SendOutcome::kUnknown;
  // An engine that ignores fencing numbers may have received a later order
  // since, and a resend would silently undo it. The operator has to check.
  const bool may_resend = job->checks_fencing || !job->may_have_arrived;
  if (may_resend && job->attempts < m_options.max_attempts) {
    return;
  }
  job->record_pending = true;
  m_results.push_back(
      {upstream, fencing,
       job->may_have_arrived ? v1::OUTCOME_UNKNOWN : v1::NOT_SENT});
}

std::vector<Command> OrderManager::Pump(TimePoint now, const Permit& permit) {
  std::vector<Command> commands;
  for (const EndOrder& result : std::exchange(m_results, {})) {
    commands.push_back(result);
  }
  for (auto& [upstream, job] : m_open) {
    if (job.record_pending || m_sending.contains(upstream)) {
      continue;
    }
    if (auto command = Decide(now, permit, upstream, job)) {
      commands.push_back(std::move(*command));
    }
  }
  return commands;
}

std::optional<Command> OrderManager::Decide(TimePoint now,
                                            const Permit& permit,
                                            const UpstreamId& upstream,
                                            Job& job) {
  if (job.taken_here) {
    return DecideOwn(now, permit, upstream, job);
  }
  if (!job.available || !permit.fresh || permit.draining || now < job.due) {
    return std::nullopt;
  }
  job.record_pending = true;
  return TakeOrder{upstream, job.fencing};
}

std::optional<Command> OrderManager::DecideOwn(TimePoint now,
                                               const Permit& permit,
                                               const UpstreamId& upstream,
                                               Job& job) {
  if (permit.draining) {
    // Otherwise the order would wait for the retirement of this router. An
    // order to an engine that ignores fencing numbers would even wait for an
    // operator, although nothing was sent.
    job.record_pending = true;
    return EndOrder{upstream, job.fencing,
                    job.may_have_arrived && !job.checks_fencing
                        ? v1::OUTCOME_UNKNOWN
                        : v1::HANDED_BACK};
  }
  if (!permit.fresh || !job.configured || now < job.due) {
    return std::nullopt;
  }
  m_sending.emplace(upstream, job.fencing);
  ++job.attempts;
  return DeliverOrder{upstream, job.address, job.fencing, job.order};
}

size_t OrderManager::busy() const {
  const auto taken_here =
      std::count_if(m_open.begin(), m_open.end(), [this](const auto& entry) {
        return entry.second.taken_here && !m_sending.contains(entry.first);
      });
  return m_sending.size() + static_cast<size_t>(taken_here);
}

}  // namespace coppervalve::orders
