/* Listing of a batch job's results by VMs that replace one another.
 *
 * safeguards: NO_CONDITION NO_WRITE_ID NO_CLAIM_CHECK
 *
 * Each name removes one safeguard when it is defined; model/run requires spin
 * to find a fault then. docs/MODEL.md maps the steps to the code.
 *
 * Two VMs, two items. A write to the store may be lost, or take effect much
 * later, if its condition still holds; its sender repeats it meanwhile. A VM may
 * be taken for dead while it goes on. Property: no item gets two positions.
 */

#define VMS 2
#define SLOTS 2
#define WRITES 6 /* bound on distinct writes */

byte rev = 1;     /* of the job's state */
byte writer = 0;  /* id of the last write */
byte listed[6];   /* items by position */
byte count = 0;
byte next_id = 1;

bool owns[VMS];
byte seen[VMS];  /* revision that the VM believes in */
byte knows[VMS]; /* items that it knows as listed, a bit each */

/* Writes under way. */
bool sent[SLOTS];
byte sent_rev[SLOTS];
byte sent_item[SLOTS];
byte sent_id[SLOTS];

#ifdef NO_CONDITION
#define HOLDS(r) true
#else
#define HOLDS(r) (rev == r)
#endif

inline apply(item, id) {
  assert(count == 0 || listed[0] != item); /* an item with two positions */
  assert(count < 2 || listed[1] != item);
  listed[count] = item;
  count++;
  rev++;
  writer = id
}

/* What the store still carries out later. */
active proctype Late() {
end:
  do
  :: atomic { sent[0] -> sent[0] = false;
       if :: HOLDS(sent_rev[0]) && count < 5 -> apply(sent_item[0], sent_id[0])
          :: else fi }
  :: atomic { sent[1] -> sent[1] = false;
       if :: HOLDS(sent_rev[1]) && count < 5 -> apply(sent_item[1], sent_id[1])
          :: else fi }
  od
}

proctype Vm(byte me) {
  bool busy = false;
  byte item, id, at, r, k, i;
end:
  do
  /* A finished item gets a write of its own. */
  :: atomic { owns[me] && !busy && next_id <= WRITES && knows[me] != 3 ->
       if :: !(knows[me] & 1) -> item = 1
          :: !(knows[me] & 2) -> item = 2 fi;
       busy = true; id = next_id; next_id++; at = seen[me] }
  /* The write is sent and its reply lost. */
  :: atomic { busy && !sent[me] ->
       sent[me] = true; sent_rev[me] = at; sent_item[me] = item;
       sent_id[me] = id }
  /* The write is sent and answered. */
  :: atomic { busy ->
       if
       :: HOLDS(at) && count < 5 ->
          apply(item, id);
          seen[me] = rev; knows[me] = knows[me] | item; busy = false
       :: !HOLDS(at) ->
#ifdef NO_WRITE_ID
          /* Not recognized: repeated on the present state. */
          at = rev
#else
          if
          :: writer == id ->
             seen[me] = rev; knows[me] = knows[me] | item; busy = false
          :: else -> owns[me] = false; busy = false
          fi
#endif
       fi }
  /* The other VM is taken for dead: its job is read, then claimed. */
  :: !owns[me] && !busy && next_id <= WRITES ->
       atomic {
         r = rev; k = 0; i = 0;
         do :: i < count -> k = k | listed[i]; i++ :: else -> break od
       };
       atomic {
         if
#ifdef NO_CLAIM_CHECK
         :: true ->
#else
         :: rev == r ->
#endif
            rev++; writer = next_id; next_id++;
            seen[me] = rev; knows[me] = k; owns[me] = true
         :: else
         fi
       }
  od
}

init {
  atomic {
    owns[0] = true;
    seen[0] = 1;
    run Vm(0);
    run Vm(1)
  }
}
