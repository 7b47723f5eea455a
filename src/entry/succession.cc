#include "coppervalve/entry/succession.h"

namespace coppervalve::entry {

// Without a proof, the whole claim of a crashed process is lost, nine seconds
// of work, although it spent only a part of it: in a crash of all routers,
// accounts lost a third of their remaining tokens. The proof is the clock that
// both incarnations read: the same boot, not set back, and still before the
// time named in the record. After a reboot the clock proves nothing.
// model/reserve.pml checks that each condition is needed.
bool HeldBack(const v1::RouterBeat& last, const Succession& succession) {
  if (last.not_before() == 0 || succession.boot.empty() ||
      last.boot() != succession.boot || !succession.alone_since) {
    return false;
  }
  const int64_t at = succession.alone_since->time_since_epoch().count();
  return last.written_at() <= at && at < last.not_before();
}

}  // namespace coppervalve::entry
