/*
 * Positions of configuration and targets (era, then revision), from a store
 * that can only be read to two gates that hand them to each other. The link of
 * gate 1 to the store is cut for good after a while; answers of the store and
 * of the other gate may be overtaken by newer ones. A gate may restart and then
 * knows nothing; with RESTORE, the store comes back once from a copy without
 * the newest write instead, in the next era, its writer writes again, and gate
 * 1 is cut off from the start.
 *
 * Properties:
 *   - a gate never goes back behind what it has acted on (assertion);
 *   - settles: in the end both gates know the newest revision (LTL).
 *
 * TRUST_ANY (a gate takes whatever arrives last), NO_RELAY (gates do not hand
 * facts on) and IGNORE_ERA (revisions alone are compared) bring the faults back.
 */
#define NEWEST 2
#define ERA 4
#define REVISION(position) ((position) % ERA)

/* Era times ERA, plus the revision. */
byte stored = 1;
#ifdef RESTORE
#define SETTLED (ERA + NEWEST)
bool isRestored = false;
bool isCut = true;
bool hasRestarted[2] = true;
#else
#define SETTLED NEWEST
bool isRestored = true;
bool isCut = false;
bool hasRestarted[2] = false;
#endif
byte known[2];

/* Answers on their way, each with the position at which it was made. */
chan fromStore[2] = [1] of {byte};
chan fromPeer[2] = [1] of {byte};

#ifdef IGNORE_ERA
#define IS_NEWER(a, b) (REVISION(a) > REVISION(b))
#else
#define IS_NEWER(a, b) ((a) > (b))
#endif

inline apply(g, position) {
  atomic {
#ifdef TRUST_ANY
    assert(position >= known[g]);
    known[g] = position
#else
    if
    :: IS_NEWER(position, known[g]) -> known[g] = position
    :: else -> skip
    fi;
    assert(!IS_NEWER(position, known[g]))
#endif
  }
}

active proctype Operator() {
  do
  :: REVISION(stored) < NEWEST -> stored++
  :: REVISION(stored) == NEWEST && isCut && isRestored -> break
  :: !isCut -> isCut = true
  :: atomic {
       !isRestored && REVISION(stored) > 1 ->
       isRestored = true;
       stored = stored + ERA - 1
     }
  od
}

/* Time goes on when nothing else does: fairness is judged on endless runs. */
bool tick;
active proctype Clock() { end: do :: tick = !tick od }

/* What is sent to one gate: an answer is made, and arrives some time later. */
proctype Sources(byte g) {
  end:
  do
  :: atomic {
       !(g == 1 && isCut) && IS_NEWER(stored, known[g]) && empty(fromStore[g]) ->
       fromStore[g]!stored
     }
#ifndef NO_RELAY
  :: atomic {
       IS_NEWER(known[1 - g], known[g]) && empty(fromPeer[g]) ->
       fromPeer[g]!known[1 - g]
     }
#endif
  od
}

proctype Gate(byte g) {
  byte position;
  end:
  do
  :: fromStore[g]?position -> apply(g, position)
  :: fromPeer[g]?position -> apply(g, position)
  :: !hasRestarted[g] -> atomic { hasRestarted[g] = true; known[g] = 0 }
  od
}

init {
  atomic {
    run Sources(0); run Sources(1);
    run Gate(0); run Gate(1)
  }
}

ltl settles { <> [] (known[0] == SETTLED && known[1] == SETTLED) }
