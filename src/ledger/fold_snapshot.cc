#include "coppervalve/ledger/detail/record_handlers.h"

namespace coppervalve::ledger::detail {

// Two folds that differ would grant the same tokens twice or refuse what is
// there, and nothing would show it. Comparing at snapshots bounds how long that
// can last; which of the two is right cannot be known here, so this one stops.
void FoldSnapshot(EntryContext& context, const v1::Snapshot& r) {
  const core::LogOffset taken_at(r.offset());
  const auto& digests = context.state().digests;
  const auto own = digests.find(taken_at);
  if (own == digests.end()) {
    context.Emit(SnapshotNotCompared{taken_at});
    return;
  }
  if (own->second != r.digest()) {
    context.Fail({core::ErrorId::kDigestMismatch,
                  std::to_string(taken_at.value()),
                  "snapshot of " + context.entry().writer()});
    return;
  }
  context.Emit(SnapshotMatched{taken_at});
}

}  // namespace coppervalve::ledger::detail
