/* Orders to one model engine. An operator issues two orders through the log;
 * two routers take them in the log and send them. Each router may be paused at
 * any point, retired meanwhile, and resume without noticing it.
 *
 * CHECKS: the engine refuses a fencing number lower than one it has seen.
 * Otherwise it accepts every order that arrives.
 *
 * Checked: an older order never takes effect after a newer one. Every step is
 * atomic; a pause is an interleaving in which a router takes no step.
 */
#ifndef CHECKS
#define CHECKS 0
#endif

#define NOBODY 255
#define MAX_ORDERS 2

/* ---- Ground truth -------------------------------------------------------- */
byte newest_applied; /* highest fencing number that took effect; 0: none */

/* ---- The ledger ---------------------------------------------------------- */
byte latest;          /* fencing number of the latest order; 0: none */
byte holder = NOBODY; /* router that took it */
bool settled = true;
bool outcome_unknown; /* reported by the holder */
bool retired[2];

/* ---- Routers ------------------------------------------------------------- */
byte ready_to_send[2];  /* order that it may send but has not sent yet */
byte sent[2];           /* order in flight */
byte awaiting_reply[2]; /* order whose reply it waits for */

/* ---- Rules of the protocol, each with the variants that break it --------- */
#if CHECKS || defined(BROKEN_NEWER_ORDER_WHILE_UNSETTLED)
#define MAY_ISSUE true
#else
#define MAY_ISSUE (settled || holder == NOBODY)
#endif

#if defined(BROKEN_RETIRED_HOLDER_IS_REPLACED)
#define MAY_TAKE(r) (holder == NOBODY || retired[holder])
#elif defined(BROKEN_SENDS_WITHOUT_TAKING)
#define MAY_TAKE(r) true
#else
#define MAY_TAKE(r) (holder == NOBODY || (CHECKS && retired[holder]))
#endif

/* The operator has verified that the holder can no longer send anything. */
#define HAS_NOTHING_PENDING(r) (ready_to_send[r] == 0 && sent[r] == 0)
#if defined(BROKEN_SETTLED_WITHOUT_LOOKING)
#define MAY_SETTLE (holder != NOBODY)
#else
#define MAY_SETTLE \
  (holder != NOBODY && (outcome_unknown || retired[holder]) && \
   HAS_NOTHING_PENDING(holder))
#endif

#if CHECKS && !defined(BROKEN_ENGINE_FORGETS_NUMBERS)
#define ENGINE_ACCEPTS(f) (f >= newest_applied)
#else
#define ENGINE_ACCEPTS(f) true
#endif

inline Settle() {
  settled = true
}

proctype Operator() {
end:
  do
  :: d_step { latest < MAX_ORDERS && MAY_ISSUE ->
       latest++; holder = NOBODY; settled = false; outcome_unknown = false }
  :: d_step { !settled && MAY_SETTLE -> Settle() }
  od
}

proctype Router(byte r) {
end:
  do
  /* The take is applied; the router reads it and decides to send. */
  :: d_step { !settled && !outcome_unknown && !retired[r] && MAY_TAKE(r) &&
              ready_to_send[r] == 0 && sent[r] == 0 && awaiting_reply[r] == 0 ->
       holder = r; ready_to_send[r] = latest }
  /* After a pause of any length, the first byte is sent. */
  :: d_step { ready_to_send[r] != 0 ->
       sent[r] = ready_to_send[r]; awaiting_reply[r] = ready_to_send[r]; ready_to_send[r] = 0 }
  /* The engine's reply arrives, and the outcome is applied. */
  :: d_step { awaiting_reply[r] != 0 && sent[r] == 0 ->
       if
       :: awaiting_reply[r] == latest && holder == r && !retired[r] && !outcome_unknown ->
            Settle()
       :: else
       fi;
       awaiting_reply[r] = 0 }
  /* No valid reply: the order is sent again, or left to the operator. */
  :: d_step { awaiting_reply[r] != 0 ->
       if
       :: CHECKS && holder == r && !settled -> ready_to_send[r] = awaiting_reply[r]
       :: awaiting_reply[r] == latest && holder == r && !retired[r] && !settled ->
            outcome_unknown = true
       :: else
       fi;
#ifndef BROKEN_RESENDS_WHAT_IT_CALLED_UNKNOWN
       awaiting_reply[r] = 0
#else
       skip
#endif
     }
#ifdef BROKEN_RESENDS_WHAT_IT_CALLED_UNKNOWN
  :: d_step { awaiting_reply[r] != 0 && sent[r] == 0 -> ready_to_send[r] = awaiting_reply[r] }
#endif
  :: d_step { !retired[r] -> retired[r] = true }
  od
}

proctype Engine() {
  byte r;
end:
  do
  :: d_step { sent[0] != 0 || sent[1] != 0 ->
       if
       :: sent[0] != 0 -> r = 0
       :: sent[1] != 0 -> r = 1
       fi;
       if
       :: ENGINE_ACCEPTS(sent[r]) ->
            assert(sent[r] >= newest_applied);
            newest_applied = sent[r]
       :: else
       fi;
       sent[r] = 0;
       r = 0 }
  od
}

init {
  atomic {
    run Operator();
    run Router(0);
    run Router(1);
    run Engine()
  }
}
