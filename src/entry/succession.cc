#include "coppervalve/entry/succession.h"

namespace coppervalve::entry {

// A process that died leaves its whole claim lost, nine seconds of work, though
// it had spent a part of it: after a crash of all routers accounts had lost a
// third of what they had left. It is proved untouched by the clock that both
// starts read: the same boot, not set back, and still before the time that the
// record names. After another boot that clock says nothing. model/reserve.pml
// shows what each condition is for.
bool HeldBack(const v1::RouterBeat& last, const Succession& succession) {
  if (last.not_before() == 0 || succession.boot.empty() ||
      last.boot() != succession.boot || !succession.alone_since) {
    return false;
  }
  const int64_t at = succession.alone_since->time_since_epoch().count();
  return last.written_at() <= at && at < last.not_before();
}

}  // namespace coppervalve::entry
