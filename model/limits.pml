/* Workspace limits: who may use a slot, and where a token is.
 *
 * safeguards: NO_MAJORITY NO_WAIT NO_SETTLING NO_LEASE_CHECK NO_PROMISE NO_CAS NO_TABLE_READ NO_WITHHOLDING NO_DEDUCTION NO_RESERVATION_END NO_RETURN_REMOVAL
 *
 * Each name removes one safeguard when it is defined; model/run requires spin
 * to find a fault then. docs/MODEL.md maps the steps to the code.
 *
 * Part 1, ownership. VM 0 holds the slot of interest and is lost, paused or
 * parted; VMs 0, 1, 2 hold slots in the first version of the table, and VM 3 is
 * new. VM 2 may be lost too, and VM 3 then takes its place among the holders,
 * so that majorities of successive versions need not meet. Time: an answer to
 * a heartbeat counts until it "runs out", which precedes a report of silence
 * by its giver (kContactWindow < kUnresponsiveAfter). A lost message is a step that
 * does not happen; a pause is any delay between steps, and an outage of the
 * store any delay of the steps on it. All are explored, since no step is forced
 * to happen.
 *
 * Part 2, lending. Two tokens, a lender and a borrower; messages are lost, and
 * returns also duplicated; the lender restarts.
 */

#define N 4
#define VERSIONS 4
#define NOBODY 7
#define BIT(i) (1 << (i))

/* The table by version: holders, and the owner of the slot of interest. */
byte holders[VERSIONS];
byte owner[VERSIONS];
byte version = 1;

byte known[N];          /* the version that each VM knows */

bool lease0 = true;     /* VM 0's lease by its own clock, registered */
bool key0 = true;       /* VM 0's holder key in the store */
bool written0 = false;  /* key written anew, table not yet read */
bool key2 = true;       /* VM 2's holder key */
byte contact0[N];       /* version of the answer that counts for VM 0; 0: none */
byte against0 = 0;      /* VMs that report VM 0 silent under known[] */
byte against2 = 0;      /* VMs that report VM 2 silent */
byte withheld0 = 0;     /* version under which VM 0 gives the slot up; 0: none */

/* A change of the table on its way to the store: checked, not yet applied. */
byte change_lost[N] = NOBODY;
byte change_version[N];
bool change_gives[N];

#define COUNT(set) \
  (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1) + (((set) >> 3) & 1))
#define MAJORITY(part, whole) (COUNT((part) & (whole)) * 2 > COUNT(whole))
#define KNOWS(i, v) ((known[i] >= (v)) << (i))
#define KNOWING(v) (KNOWS(0, v) | KNOWS(1, v) | KNOWS(2, v) | KNOWS(3, v))
#define SAME(i, v) ((known[i] == (v)) << (i))
#define AT(v) (SAME(0, v) | SAME(1, v) | SAME(2, v) | SAME(3, v))
#define ANSWERED(v) \
  (1 | ((contact0[1] == (v)) << 1) | ((contact0[2] == (v)) << 2) | \
   ((contact0[3] == (v)) << 3))

#ifdef NO_SETTLING
#define SETTLED(v) true
#define RUN_OUT(v) true
#else
/* IsSettled: majorities of this version's and the former version's holders. */
#define SETTLED(v) \
  (MAJORITY(KNOWING(v), holders[v]) && \
   (v == 1 || MAJORITY(KNOWING(v), holders[v - 1])))
/* kSettledBeforeTakeover: answers under older versions have run out. */
#define OLD(i, v) (contact0[i] != 0 && contact0[i] < (v))
#define RUN_OUT(v) (!OLD(1, v) && !OLD(2, v) && !OLD(3, v))
#endif

#ifdef NO_MAJORITY
#define REPORTED(against, v) true
#else
#define REPORTED(against, v) MAJORITY((against) & AT(v), holders[v])
#endif

/* SlotsUsableUntil: by lease, or by a majority's answers. */
#define RIGHT0 \
  (lease0 || MAJORITY(ANSWERED(1), holders[1]) || \
   (known[0] >= 2 && MAJORITY(ANSWERED(2), holders[2])) || \
   (known[0] >= 3 && MAJORITY(ANSWERED(3), holders[3])))
#ifdef NO_WITHHOLDING
#define USES0 (owner[known[0]] == 0 && RIGHT0)
#else
#define USES0 (owner[known[0]] == 0 && RIGHT0 && withheld0 == 0)
#endif
/* Others use it as soon as they know that they own it, the worst case. */
#define USES(i) (owner[known[i]] == i)
#define USERS (USES0 + USES(1) + USES(2) + USES(3))

inline learn(i, v) {
  known[i] = v;
  against0 = against0 & (15 - BIT(i));
  against2 = against2 & (15 - BIT(i));
  if
  :: i == 0 && v > withheld0 -> withheld0 = 0
  :: else
  fi
}

inline apply(i) {
  d_step {
    version++;
    holders[version] = holders[version - 1];
    owner[version] = owner[version - 1];
    if
    :: change_lost[i] != NOBODY ->
       holders[version] =
           (holders[version] & (15 - BIT(change_lost[i]))) | BIT(i);
       if
       :: owner[version] == change_lost[i] -> owner[version] = i
       :: else
       fi
    :: change_gives[i] -> owner[version] = 1
    :: else
    fi;
    change_version[i] = 0;
    change_lost[i] = NOBODY;
    change_gives[i] = false
  }
}

#ifdef NO_CAS
#define UNCHANGED(i) true
#else
#define UNCHANGED(i) (change_version[i] == version)
#endif
#ifdef NO_LEASE_CHECK
#define KEYS_GONE(i) true
#else
#define KEYS_GONE(i) \
  (!(change_lost[i] == 0 && key0) && !(change_lost[i] == 2 && key2))
#endif

#ifdef NO_WAIT
#define WAITED(i) true
#else
#define WAITED(i) (contact0[i] == 0)
#endif
#ifdef NO_PROMISE
#define COUNTS(i) true
#else
#define COUNTS(i) (!(against0 & BIT(i)))
#endif

/* Steps of every VM on the table. */
proctype Vm(byte me) {
  end:
  do
  /* Learn the next version from a peer or from the store. */
  :: atomic { version > known[me] -> learn(me, known[me] + 1) }

  /* Report VM 0 silent: the last answer to it has run out. */
  :: atomic {
       me != 0 && !(against0 & BIT(me)) && !key0 && WAITED(me) ->
       against0 = against0 | BIT(me)
     }
  /* Report VM 2 silent; its own right is not modelled. */
  :: atomic {
       me < 2 && !(against2 & BIT(me)) && !key2 ->
       against2 = against2 | BIT(me)
     }

  /* Answer VM 0's heartbeat. */
  :: atomic {
       me != 0 && known[me] == known[0] &&
       (holders[known[0]] & BIT(me)) && COUNTS(me) ->
       contact0[me] = known[0]
     }
  :: atomic { me != 0 && contact0[me] != 0 -> contact0[me] = 0 }

  /* Decide on a takeover, then write it. */
  :: atomic {
       me != 0 && me != 2 && change_version[me] == 0 &&
       known[me] == version && version < VERSIONS - 1 &&
       (holders[version] & 1) && SETTLED(version) && RUN_OUT(version) &&
       REPORTED(against0, version) ->
       change_lost[me] = 0; change_version[me] = version
     }
  :: atomic {
       me == 3 && change_version[me] == 0 &&
       known[me] == version && version < VERSIONS - 1 &&
       (holders[version] & 4) && SETTLED(version) && RUN_OUT(version) &&
       REPORTED(against2, version) ->
       change_lost[me] = 2; change_version[me] = version
     }
  /* A write that finds another version or a holder's key has no effect. */
  :: atomic {
       change_version[me] != 0 && version < VERSIONS - 1 &&
       UNCHANGED(me) && KEYS_GONE(me) -> apply(me)
     }
  :: atomic {
       change_version[me] != 0 && !(UNCHANGED(me) && KEYS_GONE(me)) ->
       change_version[me] = 0; change_lost[me] = NOBODY;
       change_gives[me] = false
     }
  od
}

/* Steps of VM 0 only: its lease, and giving the slot to VM 1. */
proctype Holder() {
  end:
  do
  :: atomic { lease0 -> lease0 = false }
  :: atomic { lease0 == false && key0 && !written0 -> key0 = false }
  :: atomic { key0 && !written0 && !lease0 -> lease0 = true }
  :: atomic {
       !key0 -> key0 = true;
#ifdef NO_TABLE_READ
       lease0 = true
#else
       written0 = true
#endif
     }
  :: atomic {
       written0 -> written0 = false;
       if
       :: version > known[0] -> learn(0, version)
       :: else
       fi;
       lease0 = true
     }
  /* Reported: write the next version, which makes the reports void. */
  :: atomic {
       lease0 && change_version[0] == 0 &&
       known[0] == version && version < VERSIONS - 1 &&
       against0 != 0 && SETTLED(version) -> change_version[0] = version
     }
  :: atomic {
       lease0 && change_version[0] == 0 &&
       known[0] == version && version < VERSIONS - 1 &&
       owner[version] == 0 && SETTLED(version) ->
       change_version[0] = version; change_gives[0] = true;
       withheld0 = version
     }
  od
}

proctype World() {
  end:
  do
  :: atomic { key2 -> key2 = false }
  od
}

/* Part 2. */
#define TOKENS 2
byte bucket = 3;         /* tokens in the lender's bucket, a bit each */
byte held = 0;           /* tokens that the borrower may spend */
byte spent[TOKENS];
byte reserved[TOKENS];   /* the loan under which a token is out; 0: none */
byte loans = 0;
chan answers = [2] of { byte, byte };  /* loan, token */
chan returns = [2] of { byte, byte };
byte loan_of[TOKENS];    /* the loan under which the borrower holds it */
byte restarts = 0;

#ifdef NO_RESERVATION_END
#define IS_RESERVED(token, loan) true
#else
#define IS_RESERVED(token, loan) (reserved[token] == loan)
#endif

inline pick(token) {
  if
  :: token = 0
  :: token = 1
  fi
}

proctype Lender() {
  byte loan;
  byte token;
  end:
  do
  :: atomic {
       loans < 3 && len(answers) < 2 -> pick(token);
       if
       :: bucket & BIT(token) ->
          loans++;
#ifndef NO_DEDUCTION
          bucket = bucket & (15 - BIT(token));
#endif
          reserved[token] = loans;
          answers ! loans, token
       :: else
       fi
     }
  :: atomic {
       pick(token);
       if
       :: bucket & BIT(token) ->
          bucket = bucket & (15 - BIT(token)); spent[token]++
       :: else
       fi
     }
  :: atomic {
       returns ? loan, token ->
       if
       :: IS_RESERVED(token, loan) ->
          reserved[token] = 0; bucket = bucket | BIT(token)
       :: !IS_RESERVED(token, loan)
       fi
     }
  /* A restart: empty bucket, no reservations. */
  :: atomic {
       restarts < 1 -> restarts++; bucket = 0; reserved[0] = 0; reserved[1] = 0
     }
  od
}

proctype Borrower() {
  byte loan;
  byte token;
  end:
  do
  :: atomic {
       answers ? loan, token ->
       if
       :: held = held | BIT(token); loan_of[token] = loan
       :: skip /* lost, or later than the loan's lifetime */
       fi
     }
  :: atomic {
       pick(token);
       if
       :: held & BIT(token) ->
          held = held & (15 - BIT(token)); spent[token]++
       :: else
       fi
     }
  :: atomic {
       pick(token);
       if
       :: (held & BIT(token)) && len(returns) < 2 && loan_of[token] != 0 ->
#ifndef NO_RETURN_REMOVAL
          held = held & (15 - BIT(token));
#endif
          returns ! loan_of[token], token;
          if
          :: len(returns) < 2 -> returns ! loan_of[token], token
          :: skip
          fi;
          loan_of[token] = 0
       :: else
       fi
     }
  /* Lost return, or a loan that ran out unused. */
  :: atomic { returns ? loan, token }
  :: atomic { held != 0 -> held = 0 }
  od
}

proctype Check() {
  end:
  do
  :: atomic { USERS > 1 -> assert(false) /* a slot is used by two VMs */ }
  :: atomic { spent[0] > 1 || spent[1] > 1 -> assert(false) /* spent twice */ }
  od
}

init {
  atomic {
    holders[1] = 7;
    owner[1] = 0;
    owner[0] = NOBODY;
    known[0] = 1; known[1] = 1; known[2] = 1; known[3] = 1;
    if
    :: run Vm(0); run Vm(1); run Vm(2); run Vm(3); run Holder(); run World()
    :: run Lender(); run Borrower()
    fi;
    run Check()
  }
}
