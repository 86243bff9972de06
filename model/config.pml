/* Spreading of the manifest's generations between VMs.
 *
 * safeguards: NO_CAS NO_HIGHER_ONLY NO_FRESHNESS NO_PULL NO_WHOLE
 *
 * Each name removes one safeguard when it is defined; model/run requires spin
 * to find a fault then. docs/MODEL.md maps the steps to the code.
 *
 * Two operators publish in a race. Every generation ever told stays under way
 * as old news, so that it may arrive late, twice or never. VMs restart with an
 * old cache file or with none, also during an outage of the store, when they
 * can only ask each other. Properties: a generation has one content; a VM's
 * generation never falls while it runs; once all VMs hold a generation, no VM
 * serves an older one, after a restart either.
 */

#define VMS 3
#define LAST 3

byte generation = 1;     /* in the store */
byte content = 1;        /* of that generation: the operator who wrote it */
byte told[4];            /* contents told of each generation, a bit each */
byte holds[VMS];         /* generation in memory */
byte holds_content[VMS];
byte cached[VMS];        /* generation in the cache file */
byte cached_content[VMS];
bool serves[VMS];
bool fresh[VMS];         /* heard from the store or a majority since the start */
byte everywhere = 1;     /* the highest generation that all VMs held at once */
byte restarts = 0;

#ifdef NO_CAS
#define IS_NEXT(seen) true
#else
#define IS_NEXT(seen) (generation == seen)
#endif
#ifdef NO_HIGHER_ONLY
#define INSTALLS(me, g) (g != holds[me])
#else
#define INSTALLS(me, g) (g > holds[me])
#endif
#ifdef NO_FRESHNESS
#define MAY_SERVE(me) (holds[me] > 0)
#else
#define MAY_SERVE(me) (holds[me] > 0 && fresh[me])
#endif

inline install(me, g, what) {
  assert(!serves[me] || g >= holds[me]); /* a running VM's generation fell */
  holds[me] = g;
  holds_content[me] = what;
  cached[me] = g;
  cached_content[me] = what;
  if
  :: holds[0] >= everywhere && holds[1] >= everywhere &&
     holds[2] >= everywhere ->
     everywhere = (holds[0] < holds[1] -> holds[0] : holds[1]);
     everywhere = (holds[2] < everywhere -> holds[2] : everywhere)
  :: else
  fi
}

proctype Operator(byte me) {
  byte seen;
  atomic { generation < LAST -> seen = generation };
  if
  :: atomic {
       IS_NEXT(seen) -> generation = seen + 1; content = me;
       told[generation] = told[generation] | (1 << me)
     }
  :: atomic { !IS_NEXT(seen) } /* conflict */
  fi
}

proctype Vm(byte me) {
  byte g = 0;
  byte peer = 0;
  end:
  do
  /* News of a generation, new or old. */
  :: atomic {
       if
       :: g = 1
       :: g = 2
       :: g = 3
       fi;
       if
       :: told[g] != 0 && INSTALLS(me, g) ->
          if
          :: told[g] & 2 -> install(me, g, 1)
          :: told[g] & 4 -> install(me, g, 2)
          fi
       :: else
       fi;
       g = 0
     }
#ifdef NO_WHOLE
  /* A patch against a content that this VM does not hold, unchecked. */
  :: atomic {
       holds[me] > 0 && told[3] != 0 && holds[me] == 1 && generation == 3 ->
       install(me, 3, 7)
     }
#endif
  /* The store confirms the manifest. */
  :: atomic {
       if
       :: generation > holds[me] -> install(me, generation, content)
       :: else
       fi;
       fresh[me] = true
     }
  /* A heartbeat with a peer that serves makes a majority of three VMs. A VM
     that is behind pulls. */
  :: atomic {
       if
       :: peer = (me + 1) % VMS
       :: peer = (me + 2) % VMS
       fi;
       if
       :: serves[peer] ->
#ifndef NO_PULL
          if
          :: holds[peer] > holds[me] ->
             install(me, holds[peer], holds_content[peer])
          :: else
          fi;
#endif
          fresh[me] = holds[me] > 0
       :: else
       fi;
       peer = 0
     }
  :: atomic { !serves[me] && MAY_SERVE(me) -> serves[me] = true }
  /* A restart: with the cache file, an older one, or none. */
  :: atomic {
       restarts < 2 -> restarts++; serves[me] = false; fresh[me] = false;
       if
       :: holds[me] = cached[me]; holds_content[me] = cached_content[me]
       :: holds[me] = 1; holds_content[me] = 1
       :: holds[me] = 0; holds_content[me] = 0
       fi
     }
  od
}

#define REVERTED(i) (serves[i] && holds[i] < everywhere)
#define DIFFER(i, j) \
  (holds[i] != 0 && holds[i] == holds[j] && \
   holds_content[i] != holds_content[j])

proctype Check() {
  end:
  do
  :: atomic { REVERTED(0) || REVERTED(1) || REVERTED(2) -> assert(false) }
  :: atomic { DIFFER(0, 1) || DIFFER(1, 2) || DIFFER(0, 2) -> assert(false) }
  od
}

init {
  atomic {
    told[1] = 2;
    holds[0] = 1; holds[1] = 1; holds[2] = 1;
    holds_content[0] = 1; holds_content[1] = 1; holds_content[2] = 1;
    cached[0] = 1; cached[1] = 1; cached[2] = 1;
    cached_content[0] = 1; cached_content[1] = 1; cached_content[2] = 1;
    serves[0] = true; serves[1] = true; serves[2] = true;
    fresh[0] = true; fresh[1] = true; fresh[2] = true;
    run Operator(1); run Operator(2);
    run Vm(0); run Vm(1); run Vm(2); run Check()
  }
}
