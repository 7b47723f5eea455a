/* Escrow without clocks: router A draws, spends, returns, transfers and is
 * retired, rightly or not; router B draws and commits at once whatever comes
 * free; the witnesses W0 and W1 bound what A can have committed; an operator
 * tops up once.
 *
 * Every step is atomic. A pause of any length is an interleaving in which a
 * process takes no step, and a crash is a pause without end. An append of A may
 * take effect at any time after it was sent, again while A repeats it for want
 * of a reply, and once more as a late copy. README.md says what is left out.
 */
#define INITIAL 2
#define TOP_UP 1
#define MOST 3 /* INITIAL + TOP_UP */
#ifndef APPENDS
#define APPENDS 4 /* of A */
#endif

mtype = { NONE, GRANT, GIVE_BACK, SPEND, CHOOSE, TRANSFER, FINAL };

typedef Append {
  mtype op;
  byte seq;
  byte arg;
  byte pending; /* FINAL: transfers not known to be recorded */
};

/* ---- The truth, which no process sees ------------------------------------ */
byte paid = INITIAL;

/* ---- The fold of the log -------------------------------------------------- */
byte f_paid = INITIAL;
byte f_free = INITIAL;
byte f_recv_a, f_spent, f_out, f_released, f_recv_b;
byte f_seq;
byte f_granted; /* by A's last GRANT */
bool f_retired, f_topped_up, f_transferred;
byte f_witness;

#define HELD_A (f_recv_a - f_spent - f_out - f_released)

/* ---- A's append under way, and a late copy of an earlier one --------------- */
Append sent, copy;
bool taken;

/* ---- Router A -------------------------------------------------------------- */
bool a_stopped; /* has read that it is retired: admits nothing more */
byte a_recv, a_spent, a_reserved, a_out;
byte a_witness;
bool a_changing;  /* the other witness has the full list of ceilings */
bool a_out_known; /* has read that its transfer is recorded */

/* ---- Witnesses: the ceiling each has acknowledged --------------------------- */
byte w_ceiling[2];
bool w_closed[2];

/* ---- Router B: all that it holds is committed ------------------------------- */
byte b_committed;
bool b_got;

/* ---- What must hold --------------------------------------------------------- */
inline Check() {
  assert(a_spent + a_reserved + b_committed <= paid);
  assert(f_paid == f_free + f_spent + HELD_A + f_recv_b);
  assert(HELD_A >= 0)
}

/* ---- The fold ---------------------------------------------------------------- */

/* Frees what the retired A holds past `ceiling`, which counts what it spent
 * and transferred. */
inline ReleasePast(ceiling) {
  if
  :: HELD_A > 0 && (ceiling) <= f_spent + f_out ->
     f_free = f_free + HELD_A;
     f_released = f_released + HELD_A
  :: HELD_A > 0 && (ceiling) > f_spent + f_out &&
     f_recv_a - f_released > (ceiling) ->
     f_free = f_free + (f_recv_a - f_released - (ceiling));
     f_released = f_recv_a - (ceiling)
  :: else
  fi
}

/* A report that the holding cannot cover stops the real fold with an alarm. */
inline FoldSpend(spent) {
  assert(spent - f_spent <= HELD_A);
  f_spent = spent
}

inline FoldTransfer() {
  if
#ifndef BROKEN_TRANSFER_RECORDED_TWICE
  :: f_transferred
#endif
  :: else ->
     assert(HELD_A >= 1);
     f_out++;
     f_recv_b++;
     f_transferred = true
  fi
}

inline FoldLive(e) {
  if
  :: e.op == GRANT ->
     f_granted = (f_free >= e.arg -> e.arg : 0);
     f_free = f_free - f_granted;
     f_recv_a = f_recv_a + f_granted
  :: e.op == GIVE_BACK && HELD_A >= e.arg ->
     f_recv_a = f_recv_a - e.arg;
     f_free = f_free + e.arg
  :: e.op == SPEND -> FoldSpend(e.arg)
  :: e.op == CHOOSE -> f_witness = e.arg
  :: e.op == TRANSFER -> FoldTransfer()
  :: else
  fi
}

inline FoldRetired(e) {
  if
  :: e.op == TRANSFER -> FoldTransfer()
  :: e.op == FINAL ->
     FoldSpend(e.arg);
     ReleasePast(f_spent + f_out + e.pending)
  :: else
  fi
}

#ifdef BROKEN_NO_DEDUP
#define IS_NEXT(e) (e.op != NONE)
#else
#define IS_NEXT(e) (e.op != NONE && e.seq == f_seq + 1)
#endif

inline Fold(e) {
  if
  :: IS_NEXT(e) ->
     f_seq = e.seq;
     if
     :: f_retired -> FoldRetired(e)
     :: else -> FoldLive(e)
     fi
  :: else
  fi;
  Check()
}

inline Forget(e) {
  e.op = NONE;
  e.arg = 0;
  e.pending = 0
}

proctype Log() {
end:
  do
  :: d_step { sent.op != NONE -> Fold(sent); taken = true }
  :: d_step { copy.op != NONE -> Fold(copy); Forget(copy); copy.seq = 0 }
  od
}

/* ---- Router A ---------------------------------------------------------------- */
#define A_COMMITTED (a_spent + a_reserved + a_out)
#define MIN(x, y) ((x) < (y) -> (x) : (y))

/* While a change of witness is under way either may be in force, so the lower
 * of both ceilings binds. */
#if defined(BROKEN_NO_CEILING)
#define A_LIMIT MOST
#elif defined(BROKEN_OLD_CEILING_DURING_CHANGE)
#define A_LIMIT w_ceiling[a_witness]
#elif defined(BROKEN_NEW_CEILING_DURING_CHANGE)
#define A_LIMIT (a_changing -> w_ceiling[1] : w_ceiling[a_witness])
#else
#define A_LIMIT \
  (a_changing -> MIN(w_ceiling[0], w_ceiling[1]) : w_ceiling[a_witness])
#endif

#define A_MAY_COMMIT \
  (!a_stopped && A_COMMITTED < a_recv && A_COMMITTED < A_LIMIT)
#define A_MAY_APPEND (sent.op == NONE && sent.seq < APPENDS)

#ifdef BROKEN_FINAL_WITH_WORK_IN_PROGRESS
#define A_IDLE true
#else
#define A_IDLE (a_reserved == 0)
#endif

inline Send(what, argument) {
  sent.seq++;
  sent.op = what;
  sent.arg = argument;
  taken = false
}

/* A has read its entry in the log. A copy may still be on its way: one of
 * several attempts whose replies were lost. */
inline ReadOwn() {
  if
  :: sent.op == GRANT -> a_recv = a_recv + f_granted; f_granted = 0
#ifdef BROKEN_RETURN_BEFORE_DEBIT
  :: sent.op == GIVE_BACK -> a_recv--
#endif
  :: sent.op == CHOOSE -> a_witness = f_witness; a_changing = false
  :: sent.op == TRANSFER -> a_out_known = true
  :: else
  fi;
  copy.op = sent.op;
  copy.seq = sent.seq;
  copy.arg = sent.arg;
  copy.pending = sent.pending;
  Forget(sent);
  taken = false
}

proctype RouterA() {
end:
  do
  :: d_step { A_MAY_COMMIT -> a_reserved++; Check() }
  :: d_step { a_reserved > 0 -> a_reserved--; a_spent++ }
  :: d_step { a_reserved > 0 -> a_reserved-- }
  :: d_step { A_MAY_APPEND && !a_stopped -> Send(GRANT, 2) }
  :: d_step { A_MAY_APPEND && !a_stopped && a_spent > f_spent ->
       Send(SPEND, a_spent) }
  :: d_step { A_MAY_APPEND && !a_stopped && A_COMMITTED < a_recv ->
       /* Debit first, then append. */
#ifndef BROKEN_RETURN_BEFORE_DEBIT
       a_recv--;
#endif
       Send(GIVE_BACK, 1) }
  :: d_step { A_MAY_APPEND && a_changing -> Send(CHOOSE, 1) }
  :: d_step { A_MAY_APPEND && a_out == 1 && !a_out_known -> Send(TRANSFER, 1) }
  :: d_step { A_MAY_APPEND && a_stopped && A_IDLE ->
#ifndef BROKEN_FINAL_FORGETS_TRANSFER
       sent.pending = (a_out == 1 && !a_out_known -> 1 : 0);
#endif
       Send(FINAL, a_spent) }
  :: d_step { taken -> ReadOwn() }
  /* Debit first, then send to B. */
  :: d_step { A_MAY_COMMIT && a_out == 0 -> a_out = 1 }
  /* The new witness gets the full list of ceilings before it is chosen. */
  :: d_step { !a_changing && a_witness == 0 && !w_closed[1] ->
       w_ceiling[1] = w_ceiling[0]; a_changing = true }
  :: d_step { f_retired && !a_stopped -> a_stopped = true }
  od
}

/* ---- Witnesses ---------------------------------------------------------------- */
#ifdef BROKEN_WITNESS_REOPENS
#define MAY_RAISE(w) (w_ceiling[w] < MOST)
#else
#define MAY_RAISE(w) (w_ceiling[w] < MOST && !w_closed[w])
#endif
#ifdef BROKEN_ANY_WITNESS
#define IN_FORCE(w) true
#else
#define IN_FORCE(w) (f_witness == w)
#endif

proctype Witness(byte w) {
end:
  do
  :: d_step { MAY_RAISE(w) && (a_witness == w || a_changing) ->
       w_ceiling[w]++ }
  :: d_step { f_retired && !w_closed[w] -> w_closed[w] = true }
  :: d_step { w_closed[w] && IN_FORCE(w) && HELD_A > 0 ->
       ReleasePast(w_ceiling[w]); Check() }
  od
}

/* ---- Router B ---------------------------------------------------------------- */
#ifdef BROKEN_TRANSFER_CREDITED_TWICE
#define B_TAKES (b_committed < MOST + 1)
#else
#define B_TAKES (!b_got)
#endif

proctype RouterB() {
end:
  do
  :: d_step { f_free > 0 ->
       f_free--; f_recv_b++; b_committed++; Check() }
  /* A's transfer arrives never, once, or as often as A repeats it. */
  :: d_step { a_out == 1 && B_TAKES ->
       b_got = true; b_committed++; Check() }
  :: d_step { b_got && !f_transferred -> FoldTransfer(); Check() }
  od
}

/* ---- Operator and peers ------------------------------------------------------- */
#ifdef BROKEN_TOP_UP_NO_DEDUP
#define TOP_UP_FOLDS true
#else
#define TOP_UP_FOLDS (!f_topped_up)
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
       :: TOP_UP_FOLDS ->
          f_paid = f_paid + TOP_UP;
          f_free = f_free + TOP_UP;
          f_topped_up = true
       :: else
       fi;
       Check() }
  od
}

/* Some peer finds A silent, rightly or not. */
proctype Peer() {
end:
  do
  :: d_step { !f_retired ->
       f_retired = true;
#ifdef BROKEN_RELEASE_ALL_ON_RETIRE
       ReleasePast(0);
#endif
       Check() }
  od
}

init {
  atomic {
    sent.op = NONE;
    copy.op = NONE;
    run Log();
    run RouterA();
    run Witness(0);
    run Witness(1);
    run RouterB();
    run Operator();
    run Peer()
  }
}
