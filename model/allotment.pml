/* Escrow of one budget without clocks. Router A is granted, spends, returns and
 * transfers tokens and is retired, rightly or not. Router B takes all free
 * tokens and commits them at once. The witnesses W0 and W1 bound what A can
 * have committed. An operator tops up once.
 *
 * Every step is atomic. A pause of any length is an interleaving in which a
 * process takes no step, and a crash is a pause without end. An append of A may
 * take effect at any time after it was sent, again while A repeats it for lack
 * of a reply, and once more as a delayed copy. README.md lists what is left out.
 */
#define INITIAL 2
#define TOP_UP 1
#define MAX_PAID 3 /* INITIAL + TOP_UP */
#ifndef APPENDS
#define APPENDS 4 /* of A */
#endif

mtype = { NONE, GRANT, RETURN_TOKENS, SPEND, CHOOSE_WITNESS, TRANSFER, FINAL };

typedef Append {
  mtype op;
  byte seq;
  byte arg;
  byte pending; /* FINAL: transfers not known to be recorded */
};

/* ---- Ground truth, visible to no process --------------------------------- */
byte paid = INITIAL;

/* ---- The ledger ---------------------------------------------------------- */
byte ledger_paid = INITIAL;
byte ledger_free = INITIAL;
byte ledger_received_a, ledger_spent, ledger_out, ledger_released,
  ledger_received_b;
byte ledger_seq;
byte ledger_granted; /* by A's last GRANT */
bool ledger_retired, ledger_topped_up, ledger_transferred;
byte ledger_witness;

#define HELD_A (ledger_received_a - ledger_spent - ledger_out - ledger_released)

/* ---- A's pending append, and a delayed copy of an earlier one ------------ */
Append sent, late_copy;
bool applied;

/* ---- Router A ------------------------------------------------------------ */
bool a_stopped; /* has read that it is retired; admits no more requests */
byte a_received, a_spent, a_reserved, a_out;
byte a_witness;
bool a_changing_witness; /* the other witness has the full list of ceilings */
bool a_out_known;        /* has read that its transfer is recorded */

/* ---- Witnesses: the ceiling that each has acknowledged ------------------- */
byte w_ceiling[2];
bool w_closed[2];

/* ---- Router B: all tokens that it holds are committed -------------------- */
byte b_committed;
bool b_credited;

/* ---- Invariants ---------------------------------------------------------- */
inline CheckInvariants() {
  assert(a_spent + a_reserved + b_committed <= paid);
  assert(
    ledger_paid == ledger_free + ledger_spent + HELD_A + ledger_received_b);
  assert(HELD_A >= 0)
}

/* ---- Applying entries ---------------------------------------------------- */

/* Releases the tokens that the retired A holds above `ceiling`, which includes
 * its spent and transferred tokens. */
inline ReleasePast(ceiling) {
  if
  :: HELD_A > 0 && (ceiling) <= ledger_spent + ledger_out ->
     ledger_free = ledger_free + HELD_A;
     ledger_released = ledger_released + HELD_A
  :: HELD_A > 0 && (ceiling) > ledger_spent + ledger_out &&
     ledger_received_a - ledger_released > (ceiling) ->
     ledger_free = ledger_free + (ledger_received_a - ledger_released - (ceiling));
     ledger_released = ledger_received_a - (ceiling)
  :: else
  fi
}

/* The real ledger stops with an alarm at a report that the holding cannot
 * cover. */
inline ApplySpend(spent) {
  assert(spent - ledger_spent <= HELD_A);
  ledger_spent = spent
}

inline ApplyTransfer() {
  if
#ifndef BROKEN_TRANSFER_RECORDED_TWICE
  :: ledger_transferred
#endif
  :: else ->
     assert(HELD_A >= 1);
     ledger_out++;
     ledger_received_b++;
     ledger_transferred = true
  fi
}

inline ApplyLive(e) {
  if
  :: e.op == GRANT ->
     ledger_granted = (ledger_free >= e.arg -> e.arg : 0);
     ledger_free = ledger_free - ledger_granted;
     ledger_received_a = ledger_received_a + ledger_granted
  :: e.op == RETURN_TOKENS && HELD_A >= e.arg ->
     ledger_received_a = ledger_received_a - e.arg;
     ledger_free = ledger_free + e.arg
  :: e.op == SPEND -> ApplySpend(e.arg)
  :: e.op == CHOOSE_WITNESS -> ledger_witness = e.arg
  :: e.op == TRANSFER -> ApplyTransfer()
  :: else
  fi
}

inline ApplyRetired(e) {
  if
  :: e.op == TRANSFER -> ApplyTransfer()
  :: e.op == FINAL ->
     ApplySpend(e.arg);
     ReleasePast(ledger_spent + ledger_out + e.pending)
  :: else
  fi
}

#ifdef BROKEN_NO_DEDUP
#define IS_NEXT(e) (e.op != NONE)
#else
#define IS_NEXT(e) (e.op != NONE && e.seq == ledger_seq + 1)
#endif

inline Apply(e) {
  if
  :: IS_NEXT(e) ->
     ledger_seq = e.seq;
     if
     :: ledger_retired -> ApplyRetired(e)
     :: else -> ApplyLive(e)
     fi
  :: else
  fi;
  CheckInvariants()
}

inline Clear(e) {
  e.op = NONE;
  e.arg = 0;
  e.pending = 0
}

proctype Log() {
end:
  do
  :: d_step { sent.op != NONE -> Apply(sent); applied = true }
  :: d_step { late_copy.op != NONE -> Apply(late_copy); Clear(late_copy); late_copy.seq = 0 }
  od
}

/* ---- Router A ------------------------------------------------------------ */
#define A_COMMITTED (a_spent + a_reserved + a_out)
#define MIN(x, y) ((x) < (y) -> (x) : (y))

/* While a change of witness is pending, either may be in force, so the lower of
 * both ceilings applies. */
#if defined(BROKEN_NO_CEILING)
#define A_LIMIT MAX_PAID
#elif defined(BROKEN_OLD_CEILING_DURING_CHANGE)
#define A_LIMIT w_ceiling[a_witness]
#elif defined(BROKEN_NEW_CEILING_DURING_CHANGE)
#define A_LIMIT (a_changing_witness -> w_ceiling[1] : w_ceiling[a_witness])
#else
#define A_LIMIT \
  (a_changing_witness -> MIN(w_ceiling[0], w_ceiling[1]) : w_ceiling[a_witness])
#endif

#define A_MAY_COMMIT \
  (!a_stopped && A_COMMITTED < a_received && A_COMMITTED < A_LIMIT)
#define A_MAY_APPEND (sent.op == NONE && sent.seq < APPENDS)

#ifdef BROKEN_FINAL_WITH_WORK_IN_PROGRESS
#define A_IDLE true
#else
#define A_IDLE (a_reserved == 0)
#endif

inline Send(operation, argument) {
  sent.seq++;
  sent.op = operation;
  sent.arg = argument;
  applied = false
}

/* A has read its entry in the log. A copy may still be in flight, from one of
 * several attempts whose replies were lost. */
inline ReadOwnEntry() {
  if
  :: sent.op == GRANT -> a_received = a_received + ledger_granted; ledger_granted = 0
#ifdef BROKEN_RETURN_BEFORE_DEBIT
  :: sent.op == RETURN_TOKENS -> a_received--
#endif
  :: sent.op == CHOOSE_WITNESS -> a_witness = ledger_witness; a_changing_witness = false
  :: sent.op == TRANSFER -> a_out_known = true
  :: else
  fi;
  late_copy.op = sent.op;
  late_copy.seq = sent.seq;
  late_copy.arg = sent.arg;
  late_copy.pending = sent.pending;
  Clear(sent);
  applied = false
}

proctype RouterA() {
end:
  do
  :: d_step { A_MAY_COMMIT -> a_reserved++; CheckInvariants() }
  :: d_step { a_reserved > 0 -> a_reserved--; a_spent++ }
  :: d_step { a_reserved > 0 -> a_reserved-- }
  :: d_step { A_MAY_APPEND && !a_stopped -> Send(GRANT, 2) }
  :: d_step { A_MAY_APPEND && !a_stopped && a_spent > ledger_spent ->
       Send(SPEND, a_spent) }
  :: d_step { A_MAY_APPEND && !a_stopped && A_COMMITTED < a_received ->
       /* Debit first, then append. */
#ifndef BROKEN_RETURN_BEFORE_DEBIT
       a_received--;
#endif
       Send(RETURN_TOKENS, 1) }
  :: d_step { A_MAY_APPEND && a_changing_witness -> Send(CHOOSE_WITNESS, 1) }
  :: d_step { A_MAY_APPEND && a_out == 1 && !a_out_known -> Send(TRANSFER, 1) }
  :: d_step { A_MAY_APPEND && a_stopped && A_IDLE ->
#ifndef BROKEN_FINAL_FORGETS_TRANSFER
       sent.pending = (a_out == 1 && !a_out_known -> 1 : 0);
#endif
       Send(FINAL, a_spent) }
  :: d_step { applied -> ReadOwnEntry() }
  /* Debit first, then send to B. */
  :: d_step { A_MAY_COMMIT && a_out == 0 -> a_out = 1 }
  /* The new witness gets the full list of ceilings before it is chosen. */
  :: d_step { !a_changing_witness && a_witness == 0 && !w_closed[1] ->
       w_ceiling[1] = w_ceiling[0]; a_changing_witness = true }
  :: d_step { ledger_retired && !a_stopped -> a_stopped = true }
  od
}

/* ---- Witnesses ----------------------------------------------------------- */
#ifdef BROKEN_WITNESS_REOPENS
#define MAY_RAISE(w) (w_ceiling[w] < MAX_PAID)
#else
#define MAY_RAISE(w) (w_ceiling[w] < MAX_PAID && !w_closed[w])
#endif
#ifdef BROKEN_ANY_WITNESS
#define IN_FORCE(w) true
#else
#define IN_FORCE(w) (ledger_witness == w)
#endif

proctype Witness(byte w) {
end:
  do
  :: d_step { MAY_RAISE(w) && (a_witness == w || a_changing_witness) ->
       w_ceiling[w]++ }
  :: d_step { ledger_retired && !w_closed[w] -> w_closed[w] = true }
  :: d_step { w_closed[w] && IN_FORCE(w) && HELD_A > 0 ->
       ReleasePast(w_ceiling[w]); CheckInvariants() }
  od
}

/* ---- Router B ------------------------------------------------------------ */
#ifdef BROKEN_TRANSFER_CREDITED_TWICE
#define B_CREDITS (b_committed < MAX_PAID + 1)
#else
#define B_CREDITS (!b_credited)
#endif

proctype RouterB() {
end:
  do
  :: d_step { ledger_free > 0 ->
       ledger_free--; ledger_received_b++; b_committed++; CheckInvariants() }
  /* A's transfer never arrives, arrives once, or arrives as often as A repeats
   * it. */
  :: d_step { a_out == 1 && B_CREDITS ->
       b_credited = true; b_committed++; CheckInvariants() }
  :: d_step { b_credited && !ledger_transferred -> ApplyTransfer(); CheckInvariants() }
  od
}

/* ---- Operator and peers -------------------------------------------------- */
#ifdef BROKEN_TOP_UP_NO_DEDUP
#define TOP_UP_APPLIES true
#else
#define TOP_UP_APPLIES (!ledger_topped_up)
#endif

/* The reply may be lost after the append took effect, so it is repeated. */
proctype Operator() {
  byte attempts;
end:
  do
  :: d_step { attempts < 2 ->
       attempts++;
       paid = INITIAL + TOP_UP;
       if
       :: TOP_UP_APPLIES ->
          ledger_paid = ledger_paid + TOP_UP;
          ledger_free = ledger_free + TOP_UP;
          ledger_topped_up = true
       :: else
       fi;
       CheckInvariants() }
  od
}

/* A peer considers A failed, rightly or not, and retires it. */
proctype Peer() {
end:
  do
  :: d_step { !ledger_retired ->
       ledger_retired = true;
#ifdef BROKEN_RELEASE_ALL_ON_RETIRE
       ReleasePast(0);
#endif
       CheckInvariants() }
  od
}

init {
  atomic {
    sent.op = NONE;
    late_copy.op = NONE;
    run Log();
    run RouterA();
    run Witness(0);
    run Witness(1);
    run RouterB();
    run Operator();
    run Peer()
  }
}
