/* A ledger with one item that must not run twice.
 *
 * safeguards: NO_EPOCH_CAS NO_READ_BACK NO_FENCING NO_QUORUM NO_FENCE_QUORUM NO_INTENT_FIRST NO_INTENT_CHECK NO_ADOPTION
 *
 * Each name removes one safeguard when it is defined; model/run requires spin
 * to find a fault then. docs/MODEL.md maps the steps to the design.
 *
 * Three writers take over one after another or at once, on three copies. A
 * writer may stop or pause between any two steps, since no step is forced to
 * happen. Writes to the store may lose their answer, or never arrive.
 * Properties: the item has at most one committed result, and runs at most once.
 */

#define WRITERS 3
#define COPIES 3
#define BIT(i) (1 << (i))
#define COUNT(set) (((set) & 1) + (((set) >> 1) & 1) + (((set) >> 2) & 1))

byte epoch = 0;          /* in the store */
byte token = WRITERS;    /* the last writer's token */
byte highest[COPIES];    /* highest epoch that each copy has seen */
bool intent[COPIES];
byte result[COPIES];     /* 0: none; 1 + writer: ran there; 9: unknown */
byte result_epoch[COPIES];
byte committed = 0;
byte runs = 0;

#define UNKNOWN 9

#ifdef NO_EPOCH_CAS
#define EPOCH_IS(seen) true
#else
#define EPOCH_IS(seen) (epoch == seen)
#endif
#ifdef NO_FENCING
#define ACCEPTS(c, e) true
#else
#define ACCEPTS(c, e) ((e) >= highest[c])
#endif
#ifdef NO_QUORUM
#define ENOUGH(set) (COUNT(set) >= 1)
#else
#define ENOUGH(set) (COUNT(set) >= 2)
#endif
#ifdef NO_FENCE_QUORUM
#define ENOUGH_FENCED(set) (COUNT(set) >= 1)
#else
#define ENOUGH_FENCED(set) (COUNT(set) >= 2)
#endif
#ifdef NO_READ_BACK
#define IS_MINE(me, seen) true
#else
#define IS_MINE(me, seen) (token == me && epoch == seen + 1)
#endif

proctype Writer(byte me) {
  byte seen = 0;
  byte mine = 0;
  byte done = 0;       /* copies that answered the current step */
  byte found = 0;
  byte found_epoch = 0;
  bool found_intent = false;
  byte c = 0;

  /* Raise the epoch in the store. */
  atomic { epoch < WRITERS -> seen = epoch };
  if
  :: atomic { EPOCH_IS(seen) -> epoch = seen + 1; token = me; mine = seen + 1 }
  :: atomic {
       EPOCH_IS(seen) -> epoch = seen + 1; token = me
     }; /* the answer is lost */
     goto unsure
  :: goto unsure /* the request is lost, or another writer was first */
  fi;
  goto fence;
unsure:
  if
  :: atomic { IS_MINE(me, seen) -> mine = seen + 1 }
  :: atomic { !IS_MINE(me, seen) -> goto stopped }
  fi;

fence:
  /* Fence copies and read them. */
  do
  :: atomic {
       ENOUGH_FENCED(done) -> done = 0; c = 0; break
     }
  :: atomic {
       !ENOUGH_FENCED(done) ->
       if
       :: c = 0
       :: c = 1
       :: c = 2
       fi;
       if
       :: !(done & BIT(c)) && ACCEPTS(c, mine) ->
          if
          :: mine > highest[c] -> highest[c] = mine
          :: else
          fi;
          done = done | BIT(c);
          found_intent = found_intent || intent[c];
          if
          :: result[c] != 0 && result_epoch[c] > found_epoch ->
             found = result[c]; found_epoch = result_epoch[c]
          :: else
          fi
       :: else
       fi
     }
  od;
  found_epoch = 0;

  atomic {
#ifdef NO_ADOPTION
    found = 0;
#endif
#ifdef NO_INTENT_CHECK
    found_intent = false;
#endif
    if
    :: found != 0 -> goto append /* adopt it */
    :: found == 0 && found_intent -> found = UNKNOWN; goto append
    :: else
    fi
  };
#ifdef NO_INTENT_FIRST
  atomic { runs++; found = 1 + me };
#endif

  /* Append the intent. */
  do
  :: atomic { ENOUGH(done) -> done = 0; c = 0; break }
  :: atomic {
       !ENOUGH(done) ->
       if
       :: c = 0
       :: c = 1
       :: c = 2
       fi;
       if
       :: !(done & BIT(c)) && ACCEPTS(c, mine) ->
          intent[c] = true; done = done | BIT(c);
          if
          :: mine > highest[c] -> highest[c] = mine
          :: else
          fi
       :: else
       fi
     }
  od;
#ifndef NO_INTENT_FIRST
  atomic { runs++; found = 1 + me };
#endif

append:
  do
  :: atomic { ENOUGH(done) -> done = 0; c = 0; break }
  :: atomic {
       !ENOUGH(done) ->
       if
       :: c = 0
       :: c = 1
       :: c = 2
       fi;
       if
       :: !(done & BIT(c)) && ACCEPTS(c, mine) ->
          result[c] = found; result_epoch[c] = mine; done = done | BIT(c);
          if
          :: mine > highest[c] -> highest[c] = mine
          :: else
          fi
       :: else
       fi
     }
  od;
  atomic {
    assert(committed == 0 || committed == found); /* one result */
    committed = found
  };
stopped:
  skip
}

proctype Check() {
  end:
  atomic { runs > 1 -> assert(false) /* ran twice */ }
}

init {
  atomic { run Writer(0); run Writer(1); run Writer(2); run Check() }
}
