#ifndef COPPERVALVE_TRIAL_NODE_H_
#define COPPERVALVE_TRIAL_NODE_H_

#include <cstdint>        // uint64_t
#include <deque>          // deque
#include <functional>     // function
#include <map>            // map
#include <memory>         // unique_ptr
#include <optional>       // optional
#include <string>         // string
#include <unordered_map>  // unordered_map
#include <vector>         // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/router/core.h"
#include "coppervalve/trial/records.h"

namespace coppervalve::trial {

class Fleet;

/// @brief Result of a request forwarded to a peer.
struct ForwardResult {
  bool answered = false;  ///< with a complete answer or a refusal
  bool sent = false;      ///< the peer may have run it
  std::optional<router::Refuse> refusal;
};

/// @brief A VM with one router process: a real router core whose actions are
/// executed in virtual time.
class Node {
 public:
  Node(Fleet& fleet, size_t index);

  void Start();
  /// @brief SIGKILL: open connections break, nothing more is sent.
  void Kill();
  /// @brief SIGSTOP: events that arrive are queued until Resume().
  void Pause();
  void Resume();
  void Drain();

  /// @brief Delivers an event to the core: now, or after Resume() if paused.
  void Deliver(router::Event event);
  /// @brief Receives a caller's request.
  void ReceiveRequest(size_t client_attempt);
  /// @brief Handles a caller's closed connection.
  void OnCallerDisconnected(size_t client_attempt);
  /// @brief Receives a request forwarded by a peer.
  /// @param done called once
  /// @return the request's id at this node, if it was accepted
  std::optional<core::RequestId> ReceiveForward(
      core::Incarnation to,
      size_t client_attempt,
      core::AccountId account,
      std::function<void(const ForwardResult&)> done);

  bool alive() const { return m_core != nullptr; }
  bool paused() const { return m_paused; }
  size_t index() const { return m_index; }
  /// @pre alive()
  const router::RouterCore& core() const { return *m_core; }
  router::RouterCore& core() { return *m_core; }
  uint64_t peer_messages() const { return m_peer_messages; }
  uint64_t peer_bytes() const { return m_peer_bytes; }

 private:
  /// State of one request outside the core.
  struct Call {
    size_t client_attempt = 0;
    std::function<void(const ForwardResult&)>
        on_forward_done;  ///< set for a request of a peer
    std::vector<core::RequestId> joiners;
    std::optional<core::RequestId> leader;
    bool done = false;
    std::optional<size_t> answered_request;
  };

  core::RequestId NewCall(Call call);
  router::RequestArrived ArrivalOf(core::RequestId id,
                                   size_t client_attempt) const;
  void Handle(const router::Event& event);
  void ScheduleTick();
  void Schedule(core::Duration delay, std::function<void()> action);

  void ExecuteAction(const router::Dispatch& action);
  void ExecuteAction(const router::Refuse& action);
  void ExecuteAction(const router::JoinAnswer& action);
  void ExecuteAction(const router::ForgetAnswer& action);
  void ExecuteAction(const router::Forward& action);
  void ExecuteAction(const router::CancelAttempt& action);
  void ExecuteAction(const router::ReplyJson& action);
  void ExecuteAction(const router::ReadLog& action);
  void ExecuteAction(const router::AppendLog& action);
  void ExecuteAction(const router::SendPeer& action);
  void ExecuteAction(const router::ProbeUpstream& action);
  void ExecuteAction(const router::SendOrder& action);
  void ExecuteAction(const router::LogLine& action);
  void ExecuteAction(const router::Exit& action);

  void Poll(const router::ReadLog& read, core::TimePoint until);
  void RunAttempt(const router::Dispatch& action);
  void RunOrder(const router::SendOrder& action);
  void EndForward(core::RequestId id, const ForwardResult& end);
  void Complete(core::RequestId id, size_t answered_request);
  void Fail(core::RequestId id, const router::Refuse& refuse);
  void EndRefused(size_t client_attempt, const router::Refuse& refuse);

  Fleet& m_fleet;
  size_t m_index;
  uint64_t m_generation =
      0;  ///< grows with each start; stale callbacks are ignored
  std::unique_ptr<router::RouterCore> m_core;
  bool m_paused = false;
  bool m_exiting = false;
  std::deque<router::Event> m_mailbox;
  std::unordered_map<core::RequestId, Call> m_calls;
  std::map<size_t, core::RequestId> m_call_by_attempt;
  uint64_t m_last_request = 0;
  uint64_t m_peer_messages = 0;
  uint64_t m_peer_bytes = 0;
};

}  // namespace coppervalve::trial

#endif  // COPPERVALVE_TRIAL_NODE_H_
