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
inline constexpr core::Duration kTransferResendInterval{
    500'000};  // microseconds
/// @brief A transfer message is resent for this long; afterwards only the log
/// record delivers the transfer.
inline constexpr core::Duration kTransferResendPeriod{
    60'000'000};  // microseconds

struct TransferAskTo {
  PeerRef to;
  v1::TransferAsk ask;
};

struct TransferSendTo {
  PeerRef to;
  v1::TransferSend send;
};

/// @brief Delivers transfers: resends outgoing ones until they are acknowledged
/// and credits incoming ones exactly once.
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
  /// @return the tokens debited for transfers that are not known to be applied
  /// by the ledger
  core::Tokens PendingOutgoing(const core::BudgetId& budget) const;
  bool HasPendingOutgoing() const { return !m_outgoing.empty(); }
  void OnOutgoingApplied(uint64_t transfer_id);

  enum class Credit : uint8_t {
    kNew,        ///< to be credited
    kApplied,    ///< credited before, applied by the ledger now
    kDuplicate,  ///< received before, no effect
  };
  /// @brief A transfer to this incarnation arrived, by message or by the log.
  Credit OnIncoming(const v1::TransferRecorded& transfer, bool applied);
  /// @brief Builds the log record of a transfer message to this incarnation.
  v1::TransferRecorded RecordOf(const PeerRef& from,
                                const v1::TransferSend& send) const;

 private:
  struct OutgoingTransfer {
    TransferSendTo message;
    core::TimePoint next_send;
    core::TimePoint give_up;
    bool delivered = false;
  };
  using IncomingKey = std::pair<core::Incarnation, uint64_t>;

  PeerRef m_self;
  uint64_t m_last_id = 0;
  std::map<uint64_t, OutgoingTransfer> m_outgoing;  ///< not applied yet
  std::unordered_map<core::BudgetId, core::Tokens> m_pending_outgoing;
  std::map<IncomingKey, bool> m_incoming;  ///< credited; whether applied
};

}  // namespace coppervalve::budget

#endif  // COPPERVALVE_BUDGET_TRANSFERS_H_
