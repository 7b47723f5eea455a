#include "coppervalve/entry/predecessor_info.h"

namespace coppervalve::entry {

// Without a proof, the whole claim of a crashed process is lost, nine seconds
// of work, although it spent only a part of it: in a crash of all routers,
// accounts lost a third of their remaining tokens. The proof is the clock that
// both incarnations read: the same boot, not set back, and still before the
// time named in the record. After a reboot the clock proves nothing.
// model/reserve.pml checks that each condition is needed.
bool ReserveUntouched(const v1::RouterBeat& last,
                      const PredecessorInfo& predecessor) {
  if (last.not_before() == 0 || predecessor.boot.empty() ||
      last.boot() != predecessor.boot || !predecessor.ended_by) {
    return false;
  }
  const int64_t at = predecessor.ended_by->time_since_epoch().count();
  return last.written_at() <= at && at < last.not_before();
}

}  // namespace coppervalve::entry
