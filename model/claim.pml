/* One request key at two routers. The caller sends the request, gets an answer
 * or loses its connection, and retries at either router. Routers crash and
 * restart as a new incarnation without any memory.
 *
 * KIND selects how the key may run:
 *   CLAIMED      non-idempotent, key without prefix: claimed in the log first
 *   ORIGIN       non-idempotent, key bound to the first incarnation of router 0
 *   IDEMPOTENT   may run again; the account is billed once
 *
 * Every step is atomic; a pause is an interleaving in which a router takes no
 * step. README.md lists what is left out.
 */
#define CLAIMED 0
#define ORIGIN 1
#define IDEMPOTENT 2
#ifndef KIND
#define KIND CLAIMED
#endif

#define MAX_SENDS 3    /* of the caller, retries included */
#define MAX_RESTARTS 1 /* of each router */
#define NOBODY 255

/* Unique number of the current incarnation of a router. */
#define INCARNATION(r) (2 * generation[r] + r)
#define ORIGIN_INCARNATION 0

mtype = { IDLE, WAITING, DISPATCHED, ANSWERED, NOT_RUN, UNKNOWN };

/* ---- Ground truth -------------------------------------------------------- */
byte runs;             /* times the work ran at an upstream */
byte in_flight;        /* requests in a kernel that may still reach an upstream */
bool reported_not_run; /* to the caller, which has not sent the key again */
byte billed;           /* times the account was billed */

/* ---- The ledger ---------------------------------------------------------- */
byte owner = NOBODY;
bool key_billed;

/* ---- Routers ------------------------------------------------------------- */
byte generation[2];
mtype phase[2] = IDLE;
bool claim_sent[2];             /* a pending append; its reply may be lost */
byte delayed_claim[2] = NOBODY; /* pending append of a crashed incarnation */
bool outcome_read[2];
bool bill_due[2];

/* ---- The caller ---------------------------------------------------------- */
byte sends;

/* "Not run" is correct when nothing ran, nothing is in flight, and nothing runs
 * later unless the caller sends the key again. */
inline RefuseNotRun(r) {
  assert(runs == 0 && in_flight == 0);
  phase[r] = NOT_RUN;
  reported_not_run = true
}

inline Dispatch(r) {
  phase[r] = DISPATCHED;
  in_flight++
}

/* ---- Rules of the protocol, each with the variants that break it --------- */
#if defined(BROKEN_LAST_CLAIM_WINS)
#define CLAIM_IS_FREE true
#else
#define CLAIM_IS_FREE (owner == NOBODY)
#endif

#if defined(BROKEN_CLAIM_FORGETS_INCARNATION)
#define OWNS(r) (owner % 2 == r)
#else
#define OWNS(r) (owner == INCARNATION(r))
#endif

#if defined(BROKEN_RESTART_KEEPS_ORIGIN)
#define IS_ORIGIN(r) (r == 0)
#elif defined(BROKEN_ANY_ROUTER_RUNS_ORIGIN_KEYS)
#define IS_ORIGIN(r) true
#else
#define IS_ORIGIN(r) (INCARNATION(r) == ORIGIN_INCARNATION)
#endif

/* Whether a router accepts another send of a key in this phase. */
#if defined(BROKEN_RETRY_AFTER_BYTES_WERE_SENT)
#define MAY_ACCEPT(r) (phase[r] == IDLE || phase[r] == UNKNOWN)
#elif KIND == IDEMPOTENT
#define MAY_ACCEPT(r) \
  (phase[r] == IDLE || phase[r] == UNKNOWN || phase[r] == NOT_RUN)
#else
#define MAY_ACCEPT(r) (phase[r] == IDLE || phase[r] == NOT_RUN)
#endif

/* ---- Processes ----------------------------------------------------------- */

/* A send reaches a router. If the key runs there already, the send joins it;
 * if it ended there, the caller gets the stored answer. Neither changes the
 * state. */
proctype Caller() {
end:
  do
  :: d_step { sends < MAX_SENDS && MAY_ACCEPT(0) ->
       sends++; reported_not_run = false; phase[0] = WAITING }
  :: d_step { sends < MAX_SENDS && MAY_ACCEPT(1) ->
       sends++; reported_not_run = false; phase[1] = WAITING }
  od
}

#if KIND == CLAIMED
#define MAY_DISPATCH(r) (outcome_read[r] && OWNS(r))
#define MUST_SAY_UNKNOWN(r) (outcome_read[r] && !OWNS(r))
#elif KIND == ORIGIN
#define MAY_DISPATCH(r) IS_ORIGIN(r)
#define MUST_SAY_UNKNOWN(r) (!IS_ORIGIN(r))
#else
#define MAY_DISPATCH(r) true
#define MUST_SAY_UNKNOWN(r) false
#endif

/* A refusal before dispatch, because the queue is full or the deadline is near.
 * "Not run" is correct only if this router alone may run the key and has not. A
 * pending claim is not known to be lost, so its outcome must be read first. */
#if defined(BROKEN_NOT_RUN_AFTER_LOST_CLAIM)
#define MAY_REFUSE(r) (phase[r] == WAITING && !claim_sent[r])
#elif defined(BROKEN_NOT_RUN_AFTER_BYTES_WERE_SENT)
#define MAY_REFUSE(r) (phase[r] == DISPATCHED)
#elif KIND == CLAIMED
#define MAY_REFUSE(r) (phase[r] == WAITING && outcome_read[r] && OWNS(r))
#elif KIND == ORIGIN
#define MAY_REFUSE(r) (phase[r] == WAITING && IS_ORIGIN(r))
#else
#define MAY_REFUSE(r) false
#endif

proctype Router(byte r) {
end:
  do
#if KIND == CLAIMED
  :: d_step { phase[r] == WAITING && !claim_sent[r] && !outcome_read[r] ->
#ifdef BROKEN_DISPATCH_BEFORE_CLAIM
       Dispatch(r);
#endif
       claim_sent[r] = true }
  /* The append takes effect, and perhaps again after a lost reply. The second
   * time the key is already owned by this incarnation, so nothing changes. */
  :: d_step { claim_sent[r] && CLAIM_IS_FREE -> owner = INCARNATION(r) }
  :: d_step { claim_sent[r] && owner != NOBODY ->
       claim_sent[r] = false; outcome_read[r] = true }
  :: d_step { delayed_claim[r] != NOBODY && CLAIM_IS_FREE ->
       owner = delayed_claim[r]; delayed_claim[r] = NOBODY }
#endif
  :: d_step { phase[r] == WAITING && MAY_DISPATCH(r) -> Dispatch(r) }
  :: d_step { phase[r] == WAITING && MUST_SAY_UNKNOWN(r) -> phase[r] = UNKNOWN }
  :: d_step { MAY_REFUSE(r) -> RefuseNotRun(r) }
#ifdef BROKEN_DISPATCH_AFTER_REFUSAL
  :: d_step { phase[r] == NOT_RUN -> Dispatch(r) }
#endif
  /* The whole answer arrives, or the connection goes silent. */
  :: d_step { phase[r] == DISPATCHED && runs > 0 ->
       phase[r] = ANSWERED; bill_due[r] = true }
  :: d_step { phase[r] == DISPATCHED -> phase[r] = UNKNOWN }
  /* The settlement is applied; its sequence number prevents a repetition. */
  :: d_step { bill_due[r] ->
       bill_due[r] = false;
       if
#ifndef BROKEN_BILLED_PER_ROUTER
       :: key_billed
#endif
       :: else -> key_billed = true; billed++; assert(billed <= 1)
       fi }
  /* Crash and restart: only a claim in the network remains. */
  :: d_step { generation[r] < MAX_RESTARTS ->
       delayed_claim[r] = (claim_sent[r] -> INCARNATION(r) : NOBODY);
       generation[r]++;
       phase[r] = IDLE;
       claim_sent[r] = false;
       outcome_read[r] = false;
       bill_due[r] = false }
  od
}

/* An upstream receives the request, or it is lost with the connection. */
proctype Upstream() {
end:
  do
  :: d_step { in_flight > 0 ->
       in_flight--;
       runs++;
       assert(!reported_not_run);
       assert(KIND == IDEMPOTENT || runs <= 1) }
  :: d_step { in_flight > 0 -> in_flight-- }
  od
}

init {
  atomic {
    run Caller();
    run Router(0);
    run Router(1);
    run Upstream()
  }
}
