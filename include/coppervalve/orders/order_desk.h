#ifndef COPPERVALVE_ORDERS_ORDER_DESK_H_
#define COPPERVALVE_ORDERS_ORDER_DESK_H_

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

struct OrderDeskOptions {
  /// Head start of each live router, by rendezvous rank, before the next one
  /// asks for the order too.
  core::Duration stagger = std::chrono::seconds(2);
  core::Duration first_backoff = std::chrono::seconds(1);
  core::Duration longest_backoff = std::chrono::seconds(30);
  uint32_t max_tries = 10;  ///< then the holder states what it knows
};

/// @brief Ask the log for an order: append OrderTaken.
struct Take {
  core::UpstreamId upstream;
  core::FencingNumber fencing;
};

/// @brief Send an order that this router has taken; ends by OnSent().
struct Send {
  core::UpstreamId upstream;
  std::string address;
  core::FencingNumber fencing;
  v1::OrderIssued order;
};

/// @brief State how an order ended: append OrderEnded.
struct State {
  core::UpstreamId upstream;
  core::FencingNumber fencing;
  v1::OrderOutcome outcome = v1::ORDER_OUTCOME_UNSPECIFIED;
};

using Command = std::variant<Take, Send, State>;

/// @brief Whether this router may act now.
struct Permit {
  bool fresh = false;  ///< it may take new work under its configuration
  bool draining = false;
};

/// @brief What one router incarnation does about the orders in the log: which
/// it asks for, when it sends them, and what it states of them. No I/O, clock
/// or randomness; not thread-safe.
class OrderDesk {
 public:
  explicit OrderDesk(membership::MemberId self, OrderDeskOptions options = {});

  /// @brief Takes the orders of the fold after it changed.
  /// @complexity linear in the orders; in the members for open ones
  void Follow(core::TimePoint now, const ledger::Fold& fold);
  /// @brief The fold refused this router's Take.
  void OnTakeRefused(core::TimePoint now,
                     const core::UpstreamId& upstream,
                     core::FencingNumber fencing);
  /// @brief A try ended; one that this desk does not wait for is ignored.
  void OnSent(core::TimePoint now,
              const core::UpstreamId& upstream,
              core::FencingNumber fencing,
              SendOutcome outcome);
  /// @return what is due. @complexity linear in the open orders
  std::vector<Command> Pump(core::TimePoint now, const Permit& permit);

  /// @return tries that have not ended, and orders that this router has taken
  /// and not ended
  size_t busy() const;
  /// @return orders that are still to be carried out, by any router
  size_t open() const { return m_open.size(); }

 private:
  /// What this router knows of one open order.
  struct Job {
    core::FencingNumber fencing;
    v1::OrderIssued order;
    std::string address;
    bool configured = false;
    bool checks_fencing = false;
    bool mine = false;           ///< taken by this incarnation, as folded
    bool available = false;      ///< may be taken
    bool asked = false;          ///< a Take or State is on its way to the fold
    bool maybe_arrived = false;  ///< a try ended without a reply
    uint32_t tries = 0;
    core::TimePoint due{};  ///< of the next Take or try
  };
  using Jobs = std::map<core::UpstreamId, Job>;

  Job* Find(const core::UpstreamId& upstream, core::FencingNumber fencing);
  void Refresh(core::TimePoint now, const ledger::Fold& fold, Job& job);
  core::Duration HeadStart(const ledger::Fold& fold,
                           const core::UpstreamId& upstream) const;
  core::Duration Backoff(uint32_t tries) const;
  std::optional<Command> Decide(core::TimePoint now,
                                const Permit& permit,
                                const core::UpstreamId& upstream,
                                Job& job);
  std::optional<Command> DecideOwn(core::TimePoint now,
                                   const Permit& permit,
                                   const core::UpstreamId& upstream,
                                   Job& job);

  membership::MemberId m_self;
  OrderDeskOptions m_options;
  Jobs m_open;
  std::vector<State> m_results;  ///< of tries, still to be stated
  /// Tries that have not ended. Apart from the open orders, since an order may
  /// be overtaken while it is being sent: never two at once to an upstream.
  std::map<core::UpstreamId, core::FencingNumber> m_sending;
};

}  // namespace coppervalve::orders

#endif  // COPPERVALVE_ORDERS_ORDER_DESK_H_
