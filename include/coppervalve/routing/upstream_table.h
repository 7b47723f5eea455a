#ifndef COPPERVALVE_ROUTING_UPSTREAM_TABLE_H_
#define COPPERVALVE_ROUTING_UPSTREAM_TABLE_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint32_t, uint64_t
#include <memory>         // unique_ptr
#include <optional>       // optional
#include <set>            // set
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/routing/concurrency_limit.h"
#include "coppervalve/routing/health.h"
#include "coppervalve/routing/random_source.h"
#include "coppervalve/routing/upstream.h"

namespace coppervalve::routing {

/// @brief Constants of the table.
struct UpstreamTableOptions {
  ConcurrencyLimitOptions limit;
  HealthOptions health;
  /// Share of the limit that INTERACTIVE and BATCH work may fill; GATE work may
  /// go past the adaptive limit up to the hard cap.
  double interactive_share = 1.0;
  double batch_share = 0.9;
  /// Time constant of the average over load reports.
  core::Duration report_smoothing{10'000'000};
  /// What others' reported work counts beside own attempts, which are exact.
  double report_weight = 0.5;
  /// A load report older than this says nothing any more.
  core::Duration report_max_age{10'000'000};
  /// Pause after a decline that names none.
  core::Duration default_hold_off{200'000};
  core::Duration max_hold_off{5'000'000};
  /// Probes handed out at a time: a fleet of thousands that is ejected whole is
  /// asked little by little.
  size_t max_probes_per_call = 32;
};

/// @brief What work asks for: a model, or a plain service.
struct WorkTarget {
  core::ModelId model;      ///< model work; empty for a plain service
  core::ServiceId service;  ///< plain work; empty for a model
};

/// @brief Position of an upstream in the table; stable while it is known.
using UpstreamSlot = core::NumberId<struct UpstreamSlotTag>;

/// @brief Upstreams that may serve some work, ordered by the hash of their id,
/// so that a bounded window of it is stable when others come and go.
using CandidateSet = std::vector<UpstreamSlot>;

/// @brief The facts about one candidate that a decision rests on.
struct Candidate {
  UpstreamSlot slot;
  uint64_t id_hash = 0;
  Usability usability = Usability::kUsable;
  HealthState health = HealthState::kHealthy;
  bool same_domain = false;
  bool excluded = false;  ///< tried before by this request
  uint32_t own = 0;       ///< this router's attempts in progress
  uint32_t others = 0;    ///< estimate of the other routers' work
  uint32_t queued = 0;    ///< last reported, 0 when unknown or too old
  uint32_t limit = 0;     ///< this router's limit for the class
  uint32_t hard_cap = 0;
  double weight = 1;  ///< slow start

  /// @brief Estimated requests there per unit of weight.
  double Load() const { return (own + others) / weight; }
  /// @brief Load as a share of the upstream's hard cap; lower is better.
  double Utilization() const { return Load() / hard_cap; }
};

/// @brief A probe the shell should make.
struct ProbeDue {
  core::UpstreamId upstream;
  std::string address;
};

/// @brief All that this router knows of the upstreams: configured facts, own
/// attempts, reported load, adaptive limits and health.
///
/// Ids that are not known are ignored by the events: an attempt may end after
/// the configuration dropped its upstream.
class UpstreamTable {
 public:
  UpstreamTable(UpstreamTableOptions options, RandomSource random);
  ~UpstreamTable();
  UpstreamTable(const UpstreamTable&) = delete;
  UpstreamTable& operator=(const UpstreamTable&) = delete;

  /// @brief Installs the upstreams of a configuration. What was learned of
  /// those that stay is kept; those that are gone get no new work and are
  /// forgotten with their last attempt. A changed address starts anew.
  /// @complexity O(n log n)
  void SetUpstreams(const std::vector<UpstreamInfo>& upstreams);
  /// @brief The VM list shows it as leaving (or live again).
  void SetLeaving(const core::UpstreamId& id, bool leaving);

  // Events of attempts. Each OnDispatch is ended by exactly one of OnDone,
  // OnDeclined, OnFailed, OnNotSent or OnCancelled. All are O(1).
  void OnDispatch(const core::UpstreamId& id);
  void OnFirstToken(const core::UpstreamId& id,
                    core::Duration latency,
                    core::TimePoint now);
  void OnDone(const core::UpstreamId& id,
              core::Duration latency,
              const std::optional<LoadReport>& load,
              core::TimePoint now);
  void OnDeclined(const core::UpstreamId& id,
                  const std::optional<core::Duration>& retry_after,
                  const std::optional<LoadReport>& load,
                  core::TimePoint now);
  void OnFailed(const core::UpstreamId& id,
                FailureKind kind,
                core::TimePoint now);
  void OnNotSent(const core::UpstreamId& id, core::TimePoint now);
  /// @brief The caller went away; says nothing about the upstream.
  void OnCancelled(const core::UpstreamId& id);
  void OnLoad(const core::UpstreamId& id,
              const LoadReport& load,
              core::TimePoint now);

  /// @brief Probes to make now; each is handed out once until it ends or its
  /// timeout passes; those past the bound are due again at the next call.
  /// @complexity O(ejected) once in 10 ms, else O(1)
  std::vector<ProbeDue> TakeProbesDue(core::TimePoint now);
  void OnProbe(const core::UpstreamId& id,
               bool healthy,
               const std::optional<LoadReport>& load,
               core::TimePoint now);

  /// @brief Upstreams that serve the target, restricted to `allowed` unless it
  /// is empty. Cached per rule until the next SetUpstreams, so `allowed` must
  /// be the rule's own list.
  /// @complexity O(1) when cached, else O(allowed)
  const CandidateSet& CandidatesFor(
      const WorkTarget& target,
      const core::RuleId& rule,
      const std::vector<core::UpstreamId>& allowed);

  /// @brief The facts about one candidate. @complexity O(1)
  Candidate Inspect(UpstreamSlot slot,
                    v1::AdmissionClass admission_class,
                    const core::FailureDomainId& own_domain,
                    core::TimePoint now) const;
  uint64_t IdHash(UpstreamSlot slot) const;
  const UpstreamInfo& InfoOf(UpstreamSlot slot) const;
  /// @return nullptr when the id is not known
  const UpstreamInfo* Find(const core::UpstreamId& id) const;
  std::optional<UpstreamSlot> SlotOf(const core::UpstreamId& id) const;
  /// @brief Own attempts in progress at the upstream; 0 when unknown.
  uint32_t InProgress(const core::UpstreamId& id) const;
  /// @brief Slots of all known upstreams, for metrics and status.
  std::vector<UpstreamSlot> Slots() const;

 private:
  struct Entry;

  Entry* FindEntry(const core::UpstreamId& id);
  const Entry* FindEntry(const core::UpstreamId& id) const;
  void AddOrUpdate(const UpstreamInfo& info);
  size_t AllocateSlot();
  void RebuildCandidateSets();
  static void EndAttempt(Entry& entry);
  void UpdateEjectedSlots(const Entry& entry, core::TimePoint now);
  void RemoveIfIdle(const core::UpstreamId& id);
  void SortByHash(CandidateSet& set) const;
  static bool Serves(const UpstreamInfo& info, const WorkTarget& target);
  uint32_t LimitFor(const Entry& entry,
                    v1::AdmissionClass admission_class,
                    core::TimePoint now) const;
  static Usability UsabilityOf(const Entry& entry,
                               uint32_t limit,
                               core::TimePoint now);

  UpstreamTableOptions m_options;
  RandomSource m_random;
  std::vector<std::unique_ptr<Entry>> m_entries;  ///< by slot; null when free
  std::vector<size_t> m_free_slots;
  std::set<size_t> m_ejected;    ///< slots to be probed
  size_t m_next_probe_slot = 0;  ///< slot where the next call goes on
  core::TimePoint m_last_probe_scan{};
  std::unordered_map<core::UpstreamId, size_t> m_slots;
  std::unordered_map<core::ModelId, CandidateSet> m_by_model;
  std::unordered_map<core::ServiceId, CandidateSet> m_by_service;
  std::unordered_map<std::string, CandidateSet> m_by_rule;
  CandidateSet m_empty_set;
};

}  // namespace coppervalve::routing

#endif  // COPPERVALVE_ROUTING_UPSTREAM_TABLE_H_
