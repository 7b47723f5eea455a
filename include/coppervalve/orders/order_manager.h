#ifndef COPPERVALVE_ORDERS_ORDER_MANAGER_H_
#define COPPERVALVE_ORDERS_ORDER_MANAGER_H_

#include <cstddef>   // size_t
#include <cstdint>   // uint32_t
#include <map>       // map
#include <optional>  // optional
#include <string>    // string
#include <variant>   // variant
#include <vector>    // vector

#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/ledger/fold.h"
#include "coppervalve/membership/member.h"
#include "coppervalve/orders/send_outcome.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::orders {

struct OrderManagerOptions {
  /// Delay between live routers, by rendezvous rank, before the next one
  /// attempts to take the order.
  core::Duration stagger = std::chrono::seconds(2);
  core::Duration initial_backoff = std::chrono::seconds(1);
  core::Duration max_backoff = std::chrono::seconds(30);
  uint32_t max_attempts = 10;  ///< then the holder reports the outcome
};

/// @brief Append OrderTaken to take an order.
struct TakeOrder {
  core::UpstreamId upstream;
  core::FencingNumber fencing;
};

/// @brief Sends an order that this router has taken; answered by OnSent().
struct DeliverOrder {
  core::UpstreamId upstream;
  std::string address;
  core::FencingNumber fencing;
  v1::OrderIssued order;
};

/// @brief Append OrderEnded with the outcome of an order.
struct EndOrder {
  core::UpstreamId upstream;
  core::FencingNumber fencing;
  v1::OrderOutcome outcome = v1::ORDER_OUTCOME_UNSPECIFIED;
};

using Command = std::variant<TakeOrder, DeliverOrder, EndOrder>;

/// @brief Whether this router may take and send orders.
struct Permit {
  bool fresh = false;  ///< its configuration is known to be current
  bool draining = false;
};

/// @brief Decides which orders of the log one router incarnation takes, when it
/// sends them and which outcomes it reports. No I/O, clock or randomness; not
/// thread-safe.
class OrderManager {
 public:
  explicit OrderManager(membership::MemberId self,
                        OrderManagerOptions options = {});

  /// @brief Updates the open orders after the fold changed.
  /// @complexity linear in the orders; for open ones, also in the members
  void Update(core::TimePoint now, const ledger::Fold& fold);
  /// @brief The fold refused an OrderTaken of this router.
  void OnTakeRefused(core::TimePoint now,
                     const core::UpstreamId& upstream,
                     core::FencingNumber fencing);
  /// @brief An attempt to send ended. Unexpected calls are ignored.
  void OnSent(core::TimePoint now,
              const core::UpstreamId& upstream,
              core::FencingNumber fencing,
              SendOutcome outcome);
  /// @return the commands that are due
  /// @complexity linear in the open orders
  std::vector<Command> Pump(core::TimePoint now, const Permit& permit);

  /// @return sends in progress, plus orders taken by this router that have not
  /// ended
  size_t busy() const;
  /// @return orders not yet completed by any router
  size_t open() const { return m_open.size(); }

 private:
  /// Data of one open order.
  struct Job {
    core::FencingNumber fencing;
    v1::OrderIssued order;
    std::string address;
    bool configured = false;
    bool checks_fencing = false;
    bool taken_here = false;        ///< taken by this incarnation in the fold
    bool available = false;         ///< may be taken
    bool record_pending = false;    ///< a record is appended, not yet folded
    bool may_have_arrived = false;  ///< an attempt ended without a reply
    uint32_t attempts = 0;
    core::TimePoint due{};  ///< of the next attempt to take or send
  };
  using Jobs = std::map<core::UpstreamId, Job>;

  Job* Find(const core::UpstreamId& upstream, core::FencingNumber fencing);
  void Refresh(core::TimePoint now, const ledger::Fold& fold, Job& job);
  core::Duration StartDelay(const ledger::Fold& fold,
                            const core::UpstreamId& upstream) const;
  core::Duration Backoff(uint32_t attempts) const;
  std::optional<Command> Decide(core::TimePoint now,
                                const Permit& permit,
                                const core::UpstreamId& upstream,
                                Job& job);
  std::optional<Command> DecideOwn(core::TimePoint now,
                                   const Permit& permit,
                                   const core::UpstreamId& upstream,
                                   Job& job);

  membership::MemberId m_self;
  OrderManagerOptions m_options;
  Jobs m_open;
  std::vector<EndOrder> m_results;  ///< outcomes to report
  /// Sends in progress. Stored apart from the open orders because a newer order
  /// may replace one that is being sent; an upstream never gets two orders at
  /// once.
  std::map<core::UpstreamId, core::FencingNumber> m_sending;
};

}  // namespace coppervalve::orders

#endif  // COPPERVALVE_ORDERS_ORDER_MANAGER_H_
