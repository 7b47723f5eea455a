#ifndef COPPERVALVE_BUDGET_TRANSFERS_H_
#define COPPERVALVE_BUDGET_TRANSFERS_H_

#include <cstdint>        // uint8_t, uint64_t
#include <map>            // map
#include <optional>       // optional
#include <unordered_map>  // unordered_map
#include <utility>        // pair
#include <vector>         // vector

#include "coppervalve/budget/peer_ref.h"
#include "coppervalve/core/ids.h"
#include "coppervalve/core/units.h"
#include "coppervalve/peer.pb.h"
#include "coppervalve/records.pb.h"

namespace coppervalve::budget {

/// @brief An unacknowledged transfer is sent again after this time.
inline constexpr core::Duration kTransferResendAfter{500'000};  // microseconds
/// @brief After this time only the record in the log delivers a transfer.
inline constexpr core::Duration kTransferResendFor{60'000'000};  // microseconds

struct TransferAskTo {
  PeerRef to;
  v1::TransferAsk ask;
};

struct TransferSendTo {
  PeerRef to;
  v1::TransferSend send;
};

/// @brief Delivery of transfers: out until acknowledged, in exactly once.
class Transfers {
 public:
  explicit Transfers(PeerRef self);

  /// @brief Starts a transfer whose tokens have been debited.
  /// @return its record for the log
  v1::TransferRecorded Start(core::TimePoint now,
                             const PeerRef& to,
                             const core::BudgetId& budget,
                             core::Tokens tokens);
  std::vector<TransferSendTo> TakeSends(core::TimePoint now);
  void OnAck(const PeerRef& from, uint64_t transfer_id);
  /// @return debited and not known to be folded
  core::Tokens PendingOut(const core::BudgetId& budget) const;
  bool AnyPendingOut() const { return !m_out.empty(); }
  void OnOutFolded(uint64_t transfer_id);

  enum class Credit : uint8_t {
    kNew,     ///< to be credited
    kFolded,  ///< credited before, but folded only now
    kKnown,   ///< nothing changes
  };
  /// @brief A transfer to this incarnation arrived, by message or by the log.
  Credit OnIn(const v1::TransferRecorded& transfer, bool folded);
  /// @brief The record of a transfer that a peer's message brought.
  v1::TransferRecorded RecordOf(const PeerRef& from,
                                const v1::TransferSend& send) const;

 private:
  struct Out {
    TransferSendTo message;
    core::TimePoint next_send;
    core::TimePoint give_up;
    bool delivered = false;
  };
  using InKey = std::pair<core::Incarnation, uint64_t>;

  PeerRef m_self;
  uint64_t m_last_id = 0;
  std::map<uint64_t, Out> m_out;  ///< not folded yet
  std::unordered_map<core::BudgetId, core::Tokens> m_pending_out;
  std::map<InKey, bool> m_in;  ///< credited; whether folded
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_TRANSFERS_H_
