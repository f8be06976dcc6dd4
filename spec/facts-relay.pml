/*
 * Model of how positions of configuration and targets (era, then revision)
 * spread from a read-only store to two gates that also relay them to each
 * other. The link of gate 1 to the store is cut for good after some time.
 * Answers of the store and of the other gate may arrive after newer answers. A
 * gate may restart and then knows nothing. With RESTORE, gates do not restart:
 * the store is restored once from a copy that lacks the newest write, in the
 * next era, the write is repeated, and gate 1 is cut off from the start.
 *
 * Properties:
 *   - a gate never returns to a position older than the one it knows (assertion);
 *   - settles: eventually both gates know the newest revision for good (LTL).
 *
 * Each of these defines violates a property: TRUST_ANY (a gate applies whatever
 * arrives last), NO_RELAY (gates do not relay positions), and IGNORE_ERA with
 * RESTORE (gates compare revisions only).
 */
#define NEWEST 2
#define ERA 4
#define REVISION(position) ((position) % ERA)

/* Position of the store's newest write: the era times ERA, plus the revision. */
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

/* Answers in flight, each with the position that was current when it was sent. */
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

/* Runs forever, so that every execution is infinite, which fairness checks need. */
bool tick;
active proctype Clock() { end: do :: tick = !tick od }

/* Sends positions of the store and of the other gate to one gate. */
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
