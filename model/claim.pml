/* One request key at two routers. The caller sends the request, gets an answer
 * or loses its connection, and retries at either router. Routers crash and come
 * back as a new incarnation that remembers nothing.
 *
 * KIND selects how the key may run:
 *   CLAIMED      non-idempotent, key without prefix: claimed in the log first
 *   ORIGIN       non-idempotent, key bound to the first incarnation of router 0
 *   IDEMPOTENT   may run again; the account is billed once
 *
 * Every step is atomic; a pause is an interleaving in which a router takes no
 * step. README.md says what is left out.
 */
#define CLAIMED 0
#define ORIGIN 1
#define IDEMPOTENT 2
#ifndef KIND
#define KIND CLAIMED
#endif

#define SENDS 3    /* of the caller, retries included */
#define RESTARTS 1 /* of each router */
#define NOBODY 255

/* Incarnations are numbered so that no two are alike. */
#define INCARNATION(r) (2 * generation[r] + r)
#define ORIGIN_INCARNATION 0

mtype = { IDLE, WAITING, DISPATCHED, ANSWERED, NOT_RUN, UNKNOWN };

/* ---- The truth ------------------------------------------------------------- */
byte runs;         /* times the work ran at an upstream */
byte deliveries;   /* bytes given to a kernel that may still reach an upstream */
bool told_not_run; /* the caller was, and has not sent the key again since */
byte billed;       /* times the account paid */

/* ---- The fold of the log ----------------------------------------------------- */
byte owner = NOBODY;
bool key_billed;

/* ---- Routers -------------------------------------------------------------------- */
byte generation[2];
mtype phase[2] = IDLE;
bool claim_sent[2]; /* an append under way; its reply may be lost */
byte late_claim[2] = NOBODY; /* one that a crashed incarnation left behind */
bool outcome_read[2];
bool bill_due[2];

/* ---- The caller -------------------------------------------------------------------- */
byte sends;

/* "Not run" is true when nothing ran, nothing is on its way, and nothing runs
 * later unless the caller sends the key again. */
inline RefuseNotRun(r) {
  assert(runs == 0 && deliveries == 0);
  phase[r] = NOT_RUN;
  told_not_run = true
}

inline Dispatch(r) {
  phase[r] = DISPATCHED;
  deliveries++
}

/* ---- Rules of the sound protocol, each with what breaks it ------------------------- */
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

/* What a key in this phase at this router may do with one more send of it. */
#if defined(BROKEN_RETRY_AFTER_BYTES_WERE_SENT)
#define MAY_START(r) (phase[r] == IDLE || phase[r] == UNKNOWN)
#elif KIND == IDEMPOTENT
#define MAY_START(r) \
  (phase[r] == IDLE || phase[r] == UNKNOWN || phase[r] == NOT_RUN)
#else
#define MAY_START(r) (phase[r] == IDLE || phase[r] == NOT_RUN)
#endif

/* ---- Processes ---------------------------------------------------------------------- */

/* A send reaches a router. A key that runs there already is joined, one that
 * ended there gets the kept answer; both change nothing here. */
proctype Caller() {
end:
  do
  :: d_step { sends < SENDS && MAY_START(0) ->
       sends++; told_not_run = false; phase[0] = WAITING }
  :: d_step { sends < SENDS && MAY_START(1) ->
       sends++; told_not_run = false; phase[1] = WAITING }
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

/* A refusal before dispatch: the queue is full, the deadline is near. Someone
 * else may run the key unless this router alone may, and has not. A claim that
 * is under way is not known to be lost, so its outcome comes first. */
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
  /* The append takes effect, perhaps again after a lost reply: the second one
   * finds the key taken by this very incarnation, which changes nothing. */
  :: d_step { claim_sent[r] && CLAIM_IS_FREE -> owner = INCARNATION(r) }
  :: d_step { claim_sent[r] && owner != NOBODY ->
       claim_sent[r] = false; outcome_read[r] = true }
  :: d_step { late_claim[r] != NOBODY && CLAIM_IS_FREE ->
       owner = late_claim[r]; late_claim[r] = NOBODY }
#endif
  :: d_step { phase[r] == WAITING && MAY_DISPATCH(r) -> Dispatch(r) }
  :: d_step { phase[r] == WAITING && MUST_SAY_UNKNOWN(r) -> phase[r] = UNKNOWN }
  :: d_step { MAY_REFUSE(r) -> RefuseNotRun(r) }
#ifdef BROKEN_DISPATCH_AFTER_REFUSAL
  :: d_step { phase[r] == NOT_RUN -> Dispatch(r) }
#endif
  /* The whole answer comes, or the connection goes silent. */
  :: d_step { phase[r] == DISPATCHED && runs > 0 ->
       phase[r] = ANSWERED; bill_due[r] = true }
  :: d_step { phase[r] == DISPATCHED -> phase[r] = UNKNOWN }
  /* The settlement is folded; its sequence keeps a repetition out. */
  :: d_step { bill_due[r] ->
       bill_due[r] = false;
       if
#ifndef BROKEN_BILLED_PER_ROUTER
       :: key_billed
#endif
       :: else -> key_billed = true; billed++; assert(billed <= 1)
       fi }
  /* Crash and restart: nothing is left but a claim in the network. */
  :: d_step { generation[r] < RESTARTS ->
       late_claim[r] = (claim_sent[r] -> INCARNATION(r) : NOBODY);
       generation[r]++;
       phase[r] = IDLE;
       claim_sent[r] = false;
       outcome_read[r] = false;
       bill_due[r] = false }
  od
}

/* An upstream gets the bytes, or they are lost with their connection. */
proctype Upstream() {
end:
  do
  :: d_step { deliveries > 0 ->
       deliveries--;
       runs++;
       assert(!told_not_run);
       assert(KIND == IDEMPOTENT || runs <= 1) }
  :: d_step { deliveries > 0 -> deliveries-- }
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
