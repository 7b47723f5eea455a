#include "action_router.h"

#include <utility>  // move

namespace coppervalve::net {

namespace {

/// Executes an action; one overload per executing component.
class ActionExecutor {
 public:
  explicit ActionExecutor(const ActionTargets& targets) : m_targets(targets) {}

  void operator()(router::ReadLog& action) const {
    m_targets.pool->Post(kPlatformThread,
                         [log = m_targets.log, action] { log->Read(action); });
  }
  void operator()(router::AppendLog& action) const {
    m_targets.pool->Post(kPlatformThread,
                         [log = m_targets.log, action = std::move(action)] {
                           log->Append(action);
                         });
  }
  void operator()(router::ProbeUpstream& action) const {
    m_targets.pool->Post(
        kPlatformThread,
        [platform = m_targets.platform, action] { platform->Probe(action); });
  }
  void operator()(router::SendOrder& action) const {
    m_targets.pool->Post(kPlatformThread, [platform = m_targets.platform,
                                           action] { platform->Send(action); });
  }
  void operator()(router::SendPeer& action) const {
    const auto failed = [report = m_targets.report,
                         router = action.router](const core::Error&) {
      report(router::PeerSendFailed{router});
    };
    if (!m_targets.peers) {
      failed({});
      return;
    }
    m_targets.peers->SendMessage(action.address, action.message, failed);
  }
  void operator()(router::LogLine& action) const {
    if (m_targets.log_line) {
      m_targets.log_line(action);
    }
  }
  void operator()(router::Exit&) const { m_targets.exit(); }

  void operator()(router::JoinAnswer& action) const {
    // Looked up here, in the order of the core's decisions: in the other thread
    // the joined answer might already have been removed.
    std::shared_ptr<Answer> leader = m_targets.answers->Find(action.leader);
    const size_t thread = OwnerOf(action.request);
    m_targets.pool->Post(thread, [worker = WorkerOf(thread), action,
                                  leader = std::move(leader)] {
      worker->Execute(action, leader);
    });
  }

  /// Actions on one request go to the thread that owns the request.
  template <typename OfRequest>
  void operator()(OfRequest& action) const {
    const size_t thread = OwnerOf(action.request);
    m_targets.pool->Post(
        thread, [worker = WorkerOf(thread), action = std::move(action)] {
          worker->Execute(action);
        });
  }

 private:
  size_t OwnerOf(core::RequestId request) const {
    return TrafficWorker::OwnerOf(request, m_targets.pool->size());
  }
  TrafficWorker* WorkerOf(size_t thread) const {
    return (*m_targets.workers)[thread].get();
  }

  const ActionTargets& m_targets;
};

}  // namespace

ActionRouter::ActionRouter(ActionTargets targets)
    : m_targets(std::move(targets)) {}

void ActionRouter::Execute(router::Action action) const {
  std::visit(ActionExecutor(m_targets), action);
}

}  // namespace coppervalve::net
