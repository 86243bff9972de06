/* Who owns a batch job, when a claim is true, what a refusal promises.
 *
 * safeguards: NO_CONFIRM NO_REVISION_ORDER NO_FENCE NO_RUN_STATE NO_TWO_STEPS NO_RESUME
 *
 * Each name removes one safeguard when it is defined; model/run requires spin
 * to find a fault then. docs/MODEL.md maps the steps to the code.
 *
 * Two VMs can own the job, a third one reads it and forwards calls to the VM
 * that it takes for the owner. The first VM submits the job by writes that may
 * be answered, refused, or get no reply and take effect later, if their
 * condition still holds. A VM may be paused at any moment; the other one then
 * takes the job over. Properties:
 * - a submission or an end that was refused has no effect, now or later;
 * - an end that was refused leaves no mark that keeps the items from running;
 * - a result that was read once is there in all later reads;
 * - no item starts after the end was acknowledged.
 */

#define VMS 2

/* Phases of the stored job. */
#define NONE 0
#define TENTATIVE 1
#define OPEN 2
#define ENDED 3

/* Kinds of writes, and outcomes of one. */
#define CREATE 0
#define ACCEPT 1
#define END 2
#define APPLIED 0
#define REFUSED 1
#define UNKNOWN 2

#define MAX_REV 5

byte rev = 0;
byte phase = NONE;
byte owner = 0;
bool listed = false; /* the result has a position */

bool owns[VMS];
byte seen[VMS];    /* revision by which the VM owns the job */
bool knows[VMS];   /* the VM knows of the result */
bool certain[VMS]; /* no pause since the VM last knew that it owns the job */
bool paused[VMS];
bool ending[VMS]; /* the VM starts no items, as the job's end is asked for */

/* The write of which the store has lost the reply. */
bool late = false;
byte late_kind;
byte late_rev;

bool submit_refused = false;
bool end_refused = false;
bool end_acknowledged = false;
bool was_read = false;

byte claim_owner = 0; /* what the third VM knows */
byte claim_rev = 0;
byte known_rev = 0; /* highest revision of a claim so far */

#ifdef NO_FENCE
#define HOLDS(r) true
#else
#define HOLDS(r) (rev == r)
#endif

#ifdef NO_TWO_STEPS
#define FIRST_PHASE OPEN
#else
#define FIRST_PHASE TENTATIVE
#endif

inline apply(kind) {
  rev++;
  if
  :: kind == CREATE -> phase = FIRST_PHASE; owner = 0
  :: kind == ACCEPT -> phase = OPEN
  :: kind == END -> phase = ENDED
  fi;
  assert(!submit_refused || phase != OPEN); /* a refused job runs */
  assert(!end_refused || phase != ENDED)    /* a refused end takes effect */
}

/* One attempt to write. Sets `outcome`; a condition that doesn't hold counts
 * as a refusal. */
inline write(kind, at, outcome) {
  atomic {
    if
    :: HOLDS(at) && rev < MAX_REV -> apply(kind); outcome = APPLIED
    :: outcome = REFUSED
    :: !late -> late = true; late_kind = kind; late_rev = at; outcome = UNKNOWN
    fi
  }
}

active proctype Late() {
end:
  do
  :: atomic { late -> late = false;
       if
       :: HOLDS(late_rev) && rev < MAX_REV && phase != ENDED -> apply(late_kind)
       :: else
       fi }
  od
}

/* The outcome of a call that was tried twice, through two peers. */
inline combine(first, second, result) {
  result = second;
#ifndef NO_RUN_STATE
  if
  :: first == UNKNOWN && second == REFUSED -> result = UNKNOWN
  :: else
  fi
#endif
}

active proctype Submit() {
  byte first, second, result;
  write(CREATE, 0, first);
  result = first;
  if
  :: first == UNKNOWN -> second = REFUSED /* by the store, for another peer */
  :: else -> second = first
  fi;
  if
  :: FIRST_PHASE == TENTATIVE && first == APPLIED ->
     write(ACCEPT, 1, first);
     if
     :: first == APPLIED -> result = APPLIED
     :: first == UNKNOWN -> write(ACCEPT, 1, second);
        combine(first, second, result)
     :: else -> result = REFUSED
     fi
  :: else -> result = second
  fi;
  atomic {
    if
    :: result == REFUSED ->
       submit_refused = true;
       assert(phase != OPEN) /* refused, but accepted */
    :: result == APPLIED && phase == OPEN && owner == 0 && rev <= 2 ->
       /* A pause may have begun after the write was sent. */
       owns[0] = true; seen[0] = rev; certain[0] = false
    :: else
    fi
  }
}

proctype Vm(byte me) {
  byte r, first, second, result;
end:
  do
  /* A pause; all that the VM knew before is uncertain afterwards. */
  :: atomic { !paused[me] -> paused[me] = true; certain[me] = false }
  :: atomic { paused[me] -> paused[me] = false }
  /* The job of a paused VM is taken over. */
  :: atomic { !paused[me] && !owns[me] && phase == OPEN && paused[1 - me] &&
       owner != me && rev < MAX_REV ->
       rev++; owner = me; owns[me] = true; seen[me] = rev;
       knows[me] = listed; certain[me] = true; ending[me] = false }
  /* The ownership is confirmed with the store. */
  :: atomic { !paused[me] && owns[me] && !certain[me] ->
       if
       :: rev == seen[me] -> certain[me] = true
       :: else -> owns[me] = false; ending[me] = false
       fi }
  /* The item starts and its result is listed. */
  :: atomic { !paused[me] && owns[me] && !ending[me] &&
#ifndef NO_CONFIRM
       certain[me] &&
#endif
       !knows[me] ->
       assert(!end_acknowledged); /* an item starts after the end */
       if
       :: HOLDS(seen[me]) && rev < MAX_REV && phase == OPEN ->
          rev++; listed = true; knows[me] = true; seen[me] = rev;
          certain[me] = true
       :: !HOLDS(seen[me]) -> owns[me] = false
       :: true /* it doesn't end yet */
       fi }
  /* The owner announces the job; the others hear it, or not. */
  :: atomic { !paused[me] && owns[me] ->
       if
#ifdef NO_REVISION_ORDER
       :: true -> claim_owner = me; claim_rev = seen[me]
#else
       :: seen[me] >= claim_rev -> claim_owner = me; claim_rev = seen[me]
#endif
       :: true
       fi;
       assert(claim_rev >= known_rev); /* an outdated claim replaces one */
       known_rev = claim_rev }
  /* The job's end is asked for at the owner, which tries twice. */
  :: atomic { !paused[me] && owns[me] && !end_refused && !end_acknowledged &&
       !ending[me] -> ending[me] = true };
     write(END, seen[me], first);
     if
     :: first == UNKNOWN -> write(END, seen[me], second);
        combine(first, second, result)
     :: else -> result = first
     fi;
     atomic {
       if
       :: result == APPLIED -> end_acknowledged = true; owns[me] = false
       :: result == REFUSED && phase != ENDED && (!owns[me] || rev == seen[me]) ->
          end_refused = true;
#ifndef NO_RESUME
          ending[me] = false;
#endif
          assert(!owns[me] || !ending[me]) /* refused, but never run again */
       :: else /* unknown: the owner goes on until it knows */
       fi }
  od
}

/* A caller reads at the third VM. */
active proctype Reader() {
  bool answer;
end:
  do
  :: atomic { phase == OPEN ->
       if
       :: owns[claim_owner] && !paused[claim_owner] &&
#ifndef NO_CONFIRM
          certain[claim_owner]
#else
          true
#endif
          -> answer = knows[claim_owner]
       :: else -> answer = listed /* read from the store */
       fi;
       assert(!was_read || answer); /* a result that was read is gone */
       was_read = was_read || answer }
  od
}

init {
  atomic {
    run Vm(0);
    run Vm(1)
  }
}
