#ifndef COPPERVALVE_ENTRY_HOLD_FACTOR_H_
#define COPPERVALVE_ENTRY_HOLD_FACTOR_H_

namespace coppervalve::entry {

/// @brief Losses and outages since the first start of the fleet or of a router.
struct LossHistory {
  /// Lost claims, in units of all tokens that the fleet may hold ahead: a
  /// single crash in a fleet of six counts as about one sixth.
  double losses = 0;
  /// Periods without the store, in units of outages of the whole fleet.
  double outages = 0;
};

/// @brief Parameters of HoldFactor().
struct HoldOptions {
  /// Prior counts, which a fleet without history starts with.
  double losses_before = 0.25;
  double outages_before = 2;
  /// Bounds of the factor.
  double least = 0.1;
  double most = 1;
};

/// @return the factor, from `least` to `most`, by which the tokens held ahead
/// by a fleet without history are multiplied; 1 without history
double HoldFactor(const HoldOptions& options, const LossHistory& history);

/// @brief This router's share of the fleet's history. It is part of every
/// heartbeat, so it is kept in the store, and the shares of all routers add up.
class RouterHistory {
 public:
  /// @brief Takes over the counts of the previous incarnation.
  void Restore(const LossHistory& previous) { m_own = previous; }
  /// @param part fraction lost of all tokens that the fleet may hold ahead
  void OnLoss(double part);
  /// @param part fraction of the fleet that was without the store
  void OnOutage(double part);
  const LossHistory& own() const { return m_own; }

 private:
  void ScaleDown();
  LossHistory m_own;
};

}  // namespace coppervalve::entry

#endif  // COPPERVALVE_ENTRY_HOLD_FACTOR_H_
