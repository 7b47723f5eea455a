#ifndef COPPERVALVE_REQUEST_REQUEST_TABLE_H_
#define COPPERVALVE_REQUEST_REQUEST_TABLE_H_

#include <cstddef>        // size_t
#include <cstdint>        // uint8_t
#include <functional>     // function
#include <list>           // list
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/error.h"
#include "coppervalve/core/hash.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/operator.pb.h"
#include "coppervalve/request/expired_key_filter.h"
#include "coppervalve/request/key_name.h"
#include "coppervalve/request/request_record.h"
#include "coppervalve/request/verdict.h"

namespace coppervalve::request {

/// @brief Limits of the table. It holds at most (max_open + max_kept +
/// max_tombstones) records, max_open joiners and the filter of expired keys.
/// The shell keeps at most max_kept_bytes of answers.
struct TableLimits {
  size_t max_open = 8'192;         ///< not final, joiners included
  size_t max_kept = 16'384;        ///< final, may be evicted early
  size_t max_tombstones = 65'536;  ///< keyed non-idempotent, open or final
  core::Bytes max_kept_bytes{64LL << 20};
  core::Duration answer_keep = std::chrono::seconds(300);
  size_t expired_keys_per_generation = size_t{1} << 20;
};

/// @brief Lookups that the table needs. None has side effects.
struct TableHooks {
  /// State and address of an incarnation, as seen by this router.
  std::function<Location(const Origin&)> locate;
  /// The live member chosen by rendezvous hashing for a key; may be this one.
  std::function<Location(const core::Hash128& key)> owner_of;
  /// The owner of the first claim of a key in the folded log, if any.
  std::function<std::optional<Origin>(const core::Hash128& key)> claim_of;
};

/// @brief A new request, after its rule was matched.
struct Arrival {
  core::RequestId id;
  core::AccountId account;
  std::optional<KeyName> key;
  core::Hash128 body_hash;
  bool non_idempotent = false;
  v1::AdmissionClass admission_class = v1::ADMISSION_CLASS_UNSPECIFIED;
  bool forwarded = false;      ///< received from a peer
  bool log_available = false;  ///< appends to the log succeed
  /// The log was recently read to its end, so an earlier claim would be known.
  bool fold_current = true;
  /// Why this router accepts no new work, if so. Joins and forwards still
  /// happen.
  std::optional<core::Error> closed = std::nullopt;
};

/// @brief Requests that wait for an outcome: the request itself unless its
/// caller has disconnected, then its joiners.
using Waiters = std::vector<core::RequestId>;

/// @brief Result of a relay to a peer.
struct ForwardOutcome {
  bool answered = false;       ///< the peer's complete answer was relayed
  bool sent = false;           ///< the peer may have it
  bool relayed = false;        ///< the caller may have part of an answer
  bool log_available = false;  ///< as in Arrival
  bool fold_current = true;    ///< as in Arrival
};

/// @brief What to do after a caller disconnects.
enum class DisconnectDecision : uint8_t {
  kKeepRunning,  ///< a joiner waits, or a retry can get the answer
  kCancel,       ///< no reader is left: cancel, then OnRefused or OnFailed
  kNothing,      ///< it was a joiner, or is final
};

/// @brief Result of a status lookup.
struct StatusLookup {
  v1::RequestStatus status;
  /// The router to query when this one has no record of the request.
  std::optional<ForwardTo> forward_to;
};

/// @brief All requests known to this incarnation, and to earlier ones of the
/// same process whose table it has adopted. Every keyed non-idempotent
/// request sent from here is in the table or in the filter of expired keys, so
/// it never runs twice.
class RequestTable {
 public:
  RequestTable(Origin self, TableHooks hooks, TableLimits limits = {});

  /// @brief Takes over the records of the previous incarnation of this process,
  /// so that the keys that it ran or refused stay known.
  /// @pre `previous` has no open request, and this table is empty
  void Adopt(RequestTable previous);

  /// @brief Sets how long answers are kept; also applies to existing entries.
  void SetAnswerKeep(core::Duration answer_keep);

  /// @brief Decides how to handle a new request and records it unless it is
  /// refused.
  /// @complexity amortised constant, plus the hooks
  KeyVerdict OnArrival(core::TimePoint now, const Arrival& arrival);

  /// @brief This incarnation owns the claim: admits the request.
  void OnClaimWon(core::TimePoint now, core::RequestId id);
  /// @brief Another incarnation owns the claim. Joiners stay with the request
  /// when it is forwarded.
  /// @return its verdict; if that is Refuse, also the same verdict for each
  /// joiner
  std::vector<RequestVerdict> OnClaimLost(core::TimePoint now,
                                          core::RequestId id,
                                          const Origin& winner);
  void OnQueued(core::TimePoint now, core::RequestId id);
  void OnReserved(core::TimePoint now,
                  core::RequestId id,
                  const core::UpstreamId& upstream);
  /// @brief The request may run from now on. Call this when the dispatch is
  /// handed to the shell, before any byte reaches the kernel.
  void OnSent(core::TimePoint now, core::RequestId id);
  /// @brief The attempt provably did not run (not sent, or declined).
  void OnAttemptNotRun(core::TimePoint now, core::RequestId id);
  /// @return whether another attempt is allowed: always for idempotent work,
  /// else only while no attempt may have run
  bool MayRetry(core::RequestId id) const;
  /// @return the run state to report in a refusal of this request
  /// @pre OnRefused() has not been called yet
  core::RunState RefusalRunState(core::RequestId id) const;

  /// @brief The answer is complete and kept by the shell.
  /// @return the requests that wait for it
  Waiters OnDone(core::TimePoint now,
                 core::RequestId id,
                 core::Bytes answer_size);
  /// @brief The request was sent but has no complete answer.
  /// @return the requests to notify
  Waiters OnFailed(core::TimePoint now,
                   core::RequestId id,
                   core::ErrorId error);
  /// @brief The request was given up before it was sent, so it did not run.
  /// @return the requests to notify
  Waiters OnRefused(core::TimePoint now,
                    core::RequestId id,
                    core::ErrorId error);
  /// @brief A relay ended. Joiners stay with the request, also when it is
  /// refused.
  /// @return what to do next; none when the caller has its complete answer
  std::optional<KeyVerdict> OnForwardEnded(core::TimePoint now,
                                           core::RequestId id,
                                           const ForwardOutcome& outcome);
  DisconnectDecision OnCallerDisconnected(core::TimePoint now,
                                          core::RequestId id);

  /// @brief Removes expired entries.
  /// @return requests whose answer the shell may drop
  /// @complexity linear in the number of expired entries
  std::vector<core::RequestId> TakeExpired(core::TimePoint now);

  /// @return the run state of a key for a refusal before OnArrival: "not run"
  /// only when no local information contradicts it
  core::RunState RunStateOfKey(const core::AccountId& account,
                               const KeyName& key) const;
  /// @brief The status of a key; always returns one.
  /// @param forwarded the lookup comes from a peer; the result then names no
  /// other router
  StatusLookup StatusOf(core::TimePoint now,
                        const core::AccountId& account,
                        const KeyName& key,
                        bool forwarded = false) const;

  /// @return the record, or null when the table has none
  const RequestRecord* Find(core::RequestId id) const;
  size_t open() const { return m_open; }
  size_t tombstones() const { return m_tombstones; }
  size_t size() const { return m_records.size(); }

 private:
  struct Slot {
    RequestRecord record;
    std::list<core::RequestId>::iterator kept_at;    // valid when final
    std::list<core::RequestId>::iterator answer_at;  // valid with kept_answer
  };

  /// Input of the decision about one request.
  struct DecisionInput {
    const RequestRecord& request;
    std::optional<Origin> origin;  // of its key
    bool log_available;
    bool fold_current;
  };
  /// A verdict and the values to store in the record.
  struct Decision {
    KeyVerdict verdict;
    bool exclusive_target = false;
    bool may_have_run = false;
  };

  Decision Decide(const DecisionInput& input) const;
  Decision DecideUnseen(const DecisionInput& input) const;
  Decision DecideAgain(const RequestRecord& request, Decision otherwise) const;
  std::optional<Decision> DecideKnown(const RequestRecord& request,
                                      const RequestRecord& known) const;
  Decision DecideAfterForward(const RequestRecord& request,
                              const ForwardOutcome& outcome) const;
  Decision DecideOriginBound(const DecisionInput& input) const;
  Decision DecideUnbound(const DecisionInput& input) const;
  Decision RequireClaim(const DecisionInput& input) const;
  Decision DecideOwnedElsewhere(const RequestRecord& request,
                                const Origin& place) const;
  Location Locate(const Origin& place) const;
  /// @return whether all that `place` knew of its keys is in this table
  bool IsOwn(const Origin& place) const;
  std::optional<Refuse> RefuseIfFull(const RequestRecord& request,
                                     const Decision& decision) const;
  std::optional<Refuse> RefuseIfClosed(const Arrival& arrival,
                                       const Decision& decision) const;
  /// Records the request unless it is refused or the table is full.
  KeyVerdict Admit(core::TimePoint now,
                   RequestRecord request,
                   Decision decision);
  void Insert(core::TimePoint now, RequestRecord request);
  /// Removes an open request. Its joiners stay in the table until Admit or
  /// RemoveJoiners.
  std::optional<RequestRecord> Extract(core::RequestId id);
  void RemoveJoiners(const Waiters& joiners);
  void MoveJoiners(const Waiters& joiners, core::RequestId leader);

  void Enter(core::TimePoint now, core::RequestId id, Phase phase);
  void SetPhase(core::TimePoint now, Slot& slot, Phase phase);
  Waiters FinishUnanswered(core::TimePoint now,
                           core::RequestId id,
                           core::ErrorId error);
  Waiters Finish(core::TimePoint now,
                 Slot& slot,
                 Phase phase,
                 std::optional<core::ErrorId> error);
  Waiters TakeWaiters(RequestRecord& record);
  void RetainRecord(Slot& slot);
  void RetainAnswer(Slot& slot, core::Bytes size);
  void DropAnswer(Slot& slot);
  void RemoveRecord(core::RequestId id);
  void ExpireKept(core::TimePoint now);
  void ExpireFrom(std::list<core::RequestId>& kept, core::TimePoint now);

  Slot* FindOpen(core::RequestId id);
  const RequestRecord* FindKey(const core::Hash128& key) const;
  std::optional<ForwardTo> FindStatusSource(
      const KeyName& key,
      const core::Hash128& identity) const;

  Origin m_self;
  std::vector<Origin> m_adopted;  ///< earlier incarnations of this process
  TableHooks m_hooks;
  TableLimits m_limits;
  std::unordered_map<core::RequestId, Slot> m_records;
  std::unordered_map<core::Hash128, core::RequestId> m_by_key;
  std::list<core::RequestId> m_evictable;  // oldest first
  std::list<core::RequestId> m_protected;  // tombstones, oldest first
  std::list<core::RequestId> m_answers;    // oldest first
  std::vector<core::RequestId> m_expired;
  ExpiredKeyFilter m_expired_keys;
  core::Bytes m_kept_bytes;
  size_t m_open = 0;
  size_t m_tombstones = 0;
};

}  // namespace coppervalve::request

#endif  // COPPERVALVE_REQUEST_REQUEST_TABLE_H_
