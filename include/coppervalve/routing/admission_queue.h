#ifndef COPPERVALVE_ROUTING_ADMISSION_QUEUE_H_
#define COPPERVALVE_ROUTING_ADMISSION_QUEUE_H_

#include <array>          // array
#include <cstddef>        // size_t
#include <cstdint>        // uint32_t
#include <functional>     // function
#include <map>            // map
#include <memory>         // unique_ptr
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/config.pb.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/routing/drain_rate.h"
#include "coppervalve/routing/random_source.h"
#include "coppervalve/routing/refusal.h"
#include "coppervalve/routing/upstream_table.h"

namespace coppervalve::routing {

/// @brief Work for one model or service: its classes share the upstreams'
/// capacity, so priorities and minimum shares hold within a pool.
using PoolId = core::NumberId<struct PoolTag>;
/// @brief Work of a pool with one candidate set; entries of one lane never wait
/// because another lane's upstreams are busy.
using LaneId = core::NumberId<struct LaneTag>;

/// @brief The pool of the work that asks for a target.
PoolId PoolOf(const WorkTarget& target);
/// @brief The lane of the work that asks for a target under a rule.
LaneId LaneOf(const WorkTarget& target, const core::RuleId& rule);

/// @brief Constants of the queue.
struct AdmissionQueueOptions {
  size_t capacity = 1024;  ///< entries over all lanes and classes
  /// Shares of the capacity that the lower classes may fill.
  double interactive_share = 0.95;
  double batch_share = 0.85;
  /// An account may hold this multiple of its class's free places.
  double account_share = 6.0;
  /// One in so many starts of a pool goes to the class when it waits.
  uint32_t interactive_start_interval = 8;
  uint32_t batch_start_interval = 10;
  core::Duration min_retry_after{100'000};
  core::Duration max_retry_after{120'000'000};
  /// Retry-After when the drain rate is not known yet.
  core::Duration default_retry_after{1'000'000};
  /// Waiting work is given up when its expected wait exceeds the time it has
  /// by this factor.
  double late_wait_factor = 2.0;
};

/// @brief A request that waits for an upstream.
struct QueueEntry {
  core::RequestId request;
  core::AccountId account;
  PoolId pool;
  LaneId lane;
  v1::AdmissionClass admission_class = v1::INTERACTIVE;
  core::TimePoint start_by{};  ///< the latest start that is of use
  double cost = 1;  ///< relative amount of work, for fairness between accounts
};

/// @brief A refusal of one waiting or arriving request.
struct QueueRefusal {
  core::RequestId request;
  Refusal refusal;
};

/// @brief What Offer did. Each refusal must reach its caller.
struct OfferOutcome {
  std::optional<Refusal> refused;         ///< the newcomer did not get in
  std::optional<QueueRefusal> displaced;  ///< a BATCH entry made room for it
  std::optional<core::Duration> expected_wait;  ///< when measured
};

/// @brief Tries to start an entry; false when nothing of its lane and class
/// can start now. It may not call the queue.
using TryStart = std::function<bool(const QueueEntry& entry)>;

/// @brief Bounded waiting room in front of the upstreams.
///
/// An entry leaves by a start, by a typed refusal (kQueueFull,
/// kDeadlineTooShort, kQueueTimeout) or by Remove; nothing else drops one.
/// GATE goes first; INTERACTIVE and BATCH have a minimum share of the starts.
/// Within a class accounts are served fairly by cost, and each account's
/// entries by earliest deadline.
class AdmissionQueue {
 public:
  AdmissionQueue(AdmissionQueueOptions options, RandomSource random);
  ~AdmissionQueue();
  AdmissionQueue(const AdmissionQueue&) = delete;
  AdmissionQueue& operator=(const AdmissionQueue&) = delete;

  /// @brief Takes an entry in, or says at once why not.
  /// @complexity O(accounts and lanes of its class + log n); O(n) when full
  OfferOutcome Offer(const QueueEntry& entry, core::TimePoint now);
  /// @brief Starts what can start. @return the number of starts
  /// @complexity O(starts * (pools + accounts * lanes))
  size_t Drain(core::TimePoint now, const TryStart& try_start);
  /// @brief Refusals of entries that are too late, or cannot make it any more.
  /// @complexity O(n * accounts) once in 10 ms, else O(accounts * lanes)
  std::vector<QueueRefusal> Expire(core::TimePoint now);
  /// @brief The caller is gone. @return false when the request does not wait
  bool Remove(core::RequestId request);
  /// @brief Refuses all that wait, for a drain: each gets `error`.
  std::vector<QueueRefusal> RefuseAll(const core::Error& error);

  /// @return true when an entry of the class must queue behind others
  bool HasWaiting(PoolId pool, v1::AdmissionClass admission_class) const;
  /// @brief When a caller refused now should come back: expected wait of a new
  /// entry plus jitter.
  core::Duration RetryAfter(PoolId pool,
                            const core::AccountId& account,
                            v1::AdmissionClass admission_class,
                            core::TimePoint now) const;
  size_t size() const { return m_entries.size(); }
  size_t SizeOf(v1::AdmissionClass admission_class) const;
  void SetCapacity(size_t capacity) { m_options.capacity = capacity; }

 private:
  struct ClassQueue;
  struct Pool;
  class DrainPass;

  static size_t CountAhead(const ClassQueue& queue,
                           const core::AccountId& account,
                           size_t own_ahead);
  Refusal Refuse(core::ErrorId id,
                 const QueueEntry& entry,
                 core::TimePoint now) const;
  std::optional<core::Duration> EstimateWait(const Pool& pool,
                                             size_t class_index,
                                             size_t ahead,
                                             core::TimePoint now) const;
  std::optional<core::Duration> ExpectedWait(const QueueEntry& entry,
                                             core::TimePoint now) const;
  size_t ClassCapacity(v1::AdmissionClass admission_class) const;
  bool AccountHasRoom(const QueueEntry& entry) const;
  std::optional<QueueRefusal> DisplaceBatch(core::TimePoint now);
  void Insert(const QueueEntry& entry);
  void Erase(const QueueEntry& entry);
  void OnStarted(Pool& pool, const QueueEntry& entry, core::TimePoint now);
  std::vector<QueueEntry> Overdue(const Pool& pool, core::TimePoint now) const;
  std::vector<QueueEntry> PredictedLate(const Pool& pool,
                                        core::TimePoint now) const;
  void PruneIdlePools();
  core::Duration AddJitter(std::optional<core::Duration> wait) const;

  AdmissionQueueOptions m_options;
  RandomSource m_random;
  std::map<PoolId, std::unique_ptr<Pool>> m_pools;
  std::unordered_map<core::RequestId, QueueEntry> m_entries;
  core::TimePoint m_estimated_at{};
  std::array<size_t, 3> m_class_sizes{};
  std::array<std::unordered_map<core::AccountId, size_t>, 3> m_account_sizes;
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_ADMISSION_QUEUE_H_
