#include "action_router.h"

#include <utility>  // move

namespace coppervalve::net {

namespace {

/// One overload for each owner.
class Carrier {
 public:
  explicit Carrier(const ActionOwners& owners) : m_owners(owners) {}

  void operator()(router::ReadLog& action) const {
    m_owners.pool->Post(kPlatformThread,
                        [log = m_owners.log, action] { log->Read(action); });
  }
  void operator()(router::AppendLog& action) const {
    m_owners.pool->Post(kPlatformThread,
                        [log = m_owners.log, action = std::move(action)] {
                          log->Append(action);
                        });
  }
  void operator()(router::ProbeUpstream& action) const {
    m_owners.pool->Post(kPlatformThread, [platform = m_owners.platform,
                                          action] { platform->Probe(action); });
  }
  void operator()(router::SendOrder& action) const {
    m_owners.pool->Post(kPlatformThread, [platform = m_owners.platform,
                                          action] { platform->Send(action); });
  }
  void operator()(router::SendPeer& action) const {
    const auto failed = [report = m_owners.report,
                         router = action.router](const core::Error&) {
      report(router::PeerSendFailed{router});
    };
    if (!m_owners.peers) {
      failed({});
      return;
    }
    m_owners.peers->SendMessage(action.address, action.message, failed);
  }
  void operator()(router::LogLine& action) const {
    if (m_owners.log_line) {
      m_owners.log_line(action);
    }
  }
  void operator()(router::Exit&) const { m_owners.exit(); }

  void operator()(router::JoinAnswer& action) const {
    // Looked up here, in the order of the core's decisions: on its way to
    // another thread it might be overtaken by the end of what it joins.
    std::shared_ptr<Answer> leader = m_owners.answers->Find(action.leader);
    const size_t thread = OwnerOf(action.request);
    m_owners.pool->Post(thread, [worker = WorkerOf(thread), action,
                                 leader = std::move(leader)] {
      worker->Carry(action, leader);
    });
  }

  /// Whatever is about one request goes to the thread that owns it.
  template <typename OfRequest>
  void operator()(OfRequest& action) const {
    const size_t thread = OwnerOf(action.request);
    m_owners.pool->Post(
        thread, [worker = WorkerOf(thread), action = std::move(action)] {
          worker->Carry(action);
        });
  }

 private:
  size_t OwnerOf(core::RequestId request) const {
    return TrafficWorker::OwnerOf(request, m_owners.pool->size());
  }
  TrafficWorker* WorkerOf(size_t thread) const {
    return (*m_owners.workers)[thread].get();
  }

  const ActionOwners& m_owners;
};

}  // namespace

ActionRouter::ActionRouter(ActionOwners owners) : m_owners(std::move(owners)) {}

void ActionRouter::Carry(router::Action action) const {
  std::visit(Carrier(m_owners), action);
}

}  // namespace coppervalve::net
