/* Orders to one model engine. An operator issues two orders through the log;
 * two routers take them in the log and send them. Each router may be paused at
 * any point, retired meanwhile, and resume as if nothing had happened.
 *
 * CHECKS: the engine refuses a fencing number lower than one it has seen.
 * Otherwise it takes whatever arrives.
 *
 * What must hold: an older order never takes effect after a newer one. Every
 * step is atomic; a pause is an interleaving in which a router takes no step.
 */
#ifndef CHECKS
#define CHECKS 0
#endif

#define NOBODY 255
#define ORDERS 2

/* ---- The truth ------------------------------------------------------------- */
byte newest_applied; /* highest fencing number that took effect; 0: none */

/* ---- The fold of the log ---------------------------------------------------- */
byte in_force;        /* fencing number of the latest order; 0: none */
byte holder = NOBODY; /* who took it */
bool settled = true;
bool stated;          /* the holder stated that the outcome is unknown */
bool retired[2];

/* ---- Routers ------------------------------------------------------------------ */
byte in_hand[2];  /* order that it was allowed to send, decided but not sent */
byte sent[2];     /* order whose bytes are on their way */
byte awaiting[2]; /* order that it waits for a reply of */

/* ---- Rules of the sound protocol, each with what breaks it -------------------- */
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

/* The operator has made sure that the holder and its bytes are gone. */
#define IS_GONE(r) (in_hand[r] == 0 && sent[r] == 0)
#if defined(BROKEN_SETTLED_WITHOUT_LOOKING)
#define MAY_SETTLE (holder != NOBODY)
#else
#define MAY_SETTLE \
  (holder != NOBODY && (stated || retired[holder]) && IS_GONE(holder))
#endif

#if CHECKS && !defined(BROKEN_ENGINE_FORGETS_NUMBERS)
#define ENGINE_TAKES(f) (f >= newest_applied)
#else
#define ENGINE_TAKES(f) true
#endif

inline Settle() {
  settled = true
}

proctype Operator() {
end:
  do
  :: d_step { in_force < ORDERS && MAY_ISSUE ->
       in_force++; holder = NOBODY; settled = false; stated = false }
  :: d_step { !settled && MAY_SETTLE -> Settle() }
  od
}

proctype Router(byte r) {
end:
  do
  /* The take is folded; the router reads it and decides to send. */
  :: d_step { !settled && !stated && !retired[r] && MAY_TAKE(r) &&
              in_hand[r] == 0 && sent[r] == 0 && awaiting[r] == 0 ->
       holder = r; in_hand[r] = in_force }
  /* Paused in between, perhaps for long; the first byte leaves. */
  :: d_step { in_hand[r] != 0 ->
       sent[r] = in_hand[r]; awaiting[r] = in_hand[r]; in_hand[r] = 0 }
  /* The engine's reply comes, and the outcome is folded. */
  :: d_step { awaiting[r] != 0 && sent[r] == 0 ->
       if
       :: awaiting[r] == in_force && holder == r && !retired[r] && !stated ->
            Settle()
       :: else
       fi;
       awaiting[r] = 0 }
  /* No valid reply: sent again, or left to the operator. */
  :: d_step { awaiting[r] != 0 ->
       if
       :: CHECKS && holder == r && !settled -> in_hand[r] = awaiting[r]
       :: awaiting[r] == in_force && holder == r && !retired[r] && !settled ->
            stated = true
       :: else
       fi;
#ifndef BROKEN_RESENDS_WHAT_IT_CALLED_UNKNOWN
       awaiting[r] = 0
#else
       skip
#endif
     }
#ifdef BROKEN_RESENDS_WHAT_IT_CALLED_UNKNOWN
  :: d_step { awaiting[r] != 0 && sent[r] == 0 -> in_hand[r] = awaiting[r] }
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
       :: ENGINE_TAKES(sent[r]) ->
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
