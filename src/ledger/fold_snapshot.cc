#include "coppervalve/ledger/detail/record_handlers.h"

namespace coppervalve::ledger::detail {

// Readers with different states would grant the same tokens twice or refuse
// available ones, without any error. Comparing digests at snapshots bounds how
// long this can last. It is unknown which of the two states is right, so this
// fold stops.
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
                  "differs from the snapshot of " + context.entry().writer()});
    return;
  }
  context.Emit(SnapshotMatched{taken_at});
}

}  // namespace coppervalve::ledger::detail
