/*
 * The reserve of a router process ("start") that ended. A claim has two parts:
 * tokens that may be spent at once, and a reserve that may not be spent before
 * a stated time of the VM's clock. A successor on the same VM that started
 * before that time counts only the first part as spent; any other successor
 * counts all of it.
 *
 * model/ceiling.pml checks the ceiling itself; this model assumes it.
 *
 * Checked: a start that ended never spent more than its successor counts, and
 * spends nothing afterwards.
 *
 * Broken variants, each with a counterexample:
 *   BROKEN_BOOT_NOT_COMPARED   the boot is not compared, although its clock
 *                              restarted
 *   BROKEN_WALL_CLOCK          a clock that may be set back
 *   BROKEN_RAISE_BEFORE_WRITE  a raise of the first part applies before it is
 *                              written
 *   BROKEN_NO_WAIT_FOR_EXIT    a successor does not wait for the end of the
 *                              earlier start
 *   BROKEN_TIME_BEFORE_LOCK    the time is read before the earlier start ended
 *   BROKEN_TWO_SUCCESSORS      a start uses the time that was read by an earlier
 *                              successor, which wrote nothing
 */
#define CEILING 2
#define RESERVE_DELAY 2
#define NONE 255
/* Two starts with two records each or, with THREE_STARTS, three with one
 * each. */
#ifdef THREE_STARTS
#define STARTS 3
#define RECORDS 1
#define MAX_TICK 3
#else
#define STARTS 2
#define RECORDS 2
#define MAX_TICK 4
#endif

/* The VM. */
byte clock = 0;
byte boot = 1;
bool port_held = false; /* a start holds the VM's port */

/* The newest record of this router in the log, and the fence. */
byte rec_immediate = 0;
byte rec_ceiling = 0;
byte rec_not_before = 0;
byte rec_written = 0;
byte rec_boot = 0;
byte rec_earlier = 0;
byte fence = 0;

/* Tokens spent by all starts. */
byte total_spent = 0;
byte started = 0;      /* number of starts so far */
byte proved_at = NONE; /* time read by the last start that proved an earlier claim */

#ifdef BROKEN_BOOT_NOT_COMPARED
#define SAME_BOOT true
#else
#define SAME_BOOT (rec_boot == boot)
#endif
#define PROVED(read_at) \
  (SAME_BOOT && rec_written <= read_at && read_at < rec_not_before)

inline store_record() {
  rec_immediate = pending_immediate;
  rec_ceiling = CEILING;
  rec_not_before = pending_not_before;
  rec_written = pending_written;
  rec_boot = pending_boot;
  rec_earlier = earlier
}

proctype Start(byte epoch) {
  byte spent = 0;
  byte immediate = 0; /* of the record known to be written */
  byte not_before = 0;
  byte pending_immediate = 0; /* of the record in flight */
  byte pending_not_before = 0;
  byte pending_written = 0;
  byte pending_boot = 0;
  byte my_boot = boot;
  byte earlier = 0;
  byte read_at = NONE;
  byte records = 0;
  bool in_flight = false;
  bool stored = false;   /* the store has executed the write */
  bool recorded = false; /* a record of this start is known to be written */

#ifdef BROKEN_TIME_BEFORE_LOCK
  read_at = clock;
#endif
#ifdef BROKEN_NO_WAIT_FOR_EXIT
  atomic { read_at = clock };
#else
  /* Only one start can hold the port. */
  atomic { !port_held -> port_held = true;
#ifndef BROKEN_TIME_BEFORE_LOCK
    read_at = clock
#endif
  };
#endif
#ifdef BROKEN_TWO_SUCCESSORS
  /* The time that an earlier successor read is also used for this one. */
  if
  :: proved_at != NONE -> read_at = proved_at
  :: else -> proved_at = read_at
  fi;
#endif
  fence = epoch;
  d_step {
    earlier = rec_earlier + (PROVED(read_at) -> rec_immediate : rec_ceiling)
  };
  assert(total_spent <= earlier);
  if
  :: epoch == STARTS -> goto ended /* it has no successor */
  :: else -> skip
  fi;

end_rest:
  do
  /* Record what may be spent at once, and the time from which the remaining
   * tokens may be. */
  :: !in_flight && my_boot == boot && records < RECORDS ->
     d_step {
       records++;
       in_flight = true;
       stored = false;
       pending_written = clock;
       pending_not_before = clock + RESERVE_DELAY;
       pending_boot = boot
     };
     if
     :: pending_immediate = spent
     :: pending_immediate = (spent < CEILING -> spent + 1 : spent)
     fi
  /* The store executes the write: now, or much later. */
  :: atomic { in_flight && !stored && fence <= epoch ->
       store_record();
       stored = true
     }
  /* The store's reply arrives. */
  :: in_flight && stored && my_boot == boot ->
     d_step {
       in_flight = false;
       recorded = true;
       immediate = pending_immediate;
       not_before = pending_not_before
     }
  /* Spend one token. */
  :: my_boot == boot && recorded && spent < CEILING &&
#ifndef BROKEN_RAISE_BEFORE_WRITE
     (spent < immediate || clock >= not_before) &&
#endif
     (!in_flight || spent < pending_immediate || clock >= pending_not_before) ->
     atomic {
       spent++;
       total_spent++;
       /* Once a later start counts this one, nothing more may be spent. */
       assert(fence <= epoch)
     }
  /* Only the process crashes. */
  :: my_boot == boot && started < STARTS ->
     atomic {
       started++;
       port_held = false;
       run Start(started)
     };
     break
#ifdef BROKEN_NO_WAIT_FOR_EXIT
  /* Another start begins while this one runs. */
  :: my_boot == boot && started < STARTS ->
     atomic {
       started++;
       run Start(started)
     }
#endif
#ifdef BROKEN_TIME_BEFORE_LOCK
  /* The next start is prepared while this one still runs. */
  :: my_boot == boot && started < STARTS ->
     atomic {
       started++;
       run Start(started)
     }
  :: my_boot == boot -> port_held = false; break
#endif
  /* The VM loses power: its clock restarts. */
  :: my_boot == boot && started < STARTS ->
     atomic {
       started++;
       boot++;
       clock = 0;
       port_held = false;
       run Start(started)
     };
     break
  od;
ended:
  /* A write that it had sent may still be executed. */
  if
  :: atomic { in_flight && !stored && fence <= epoch -> store_record() }
  :: true -> skip
  fi;
  d_step {
    spent = 0; immediate = 0; not_before = 0; pending_immediate = 0; pending_not_before = 0;
    pending_written = 0; pending_boot = 0; my_boot = 0; earlier = 0; read_at = 0; records = 0;
    in_flight = false; stored = false; recorded = false
  }
}

proctype Time() {
end_time:
  do
  :: clock < MAX_TICK -> clock++
#ifdef BROKEN_WALL_CLOCK
  :: clock > 1 -> clock = clock - 2
#endif
  od
}

init {
  atomic {
    started = 1;
    run Time();
    run Start(1)
  }
}
