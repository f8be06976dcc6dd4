/*
 * Revisions of configuration and targets, from a store that can only be read
 * to two gates that hand them to each other. The link of gate 1 to the store
 * is cut for good after a while; answers of the store and of the other gate
 * may be overtaken by newer ones. A gate may restart and then knows nothing.
 *
 * Properties:
 *   - a gate never goes back behind what it has acted on (assertion);
 *   - settles: in the end both gates know the newest revision (LTL).
 *
 * TRUST_ANY (a gate takes whatever arrives last) and NO_RELAY (gates do not
 * hand facts on) bring the faults back.
 */
#define NEWEST 2

byte stored = 1;
byte known[2];
bool isCut = false;

/* Answers on their way, each with the revision at which it was made. */
chan fromStore[2] = [1] of {byte};
chan fromPeer[2] = [1] of {byte};

inline apply(g, revision) {
  atomic {
#ifdef TRUST_ANY
    assert(revision >= known[g]);
    known[g] = revision
#else
    if
    :: revision > known[g] -> known[g] = revision
    :: else -> skip
    fi;
    assert(known[g] >= revision)
#endif
  }
}

active proctype Operator() {
  do
  :: stored < NEWEST -> stored++
  :: stored == NEWEST && isCut -> break
  :: !isCut -> isCut = true
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
       !(g == 1 && isCut) && known[g] < stored && empty(fromStore[g]) ->
       fromStore[g]!stored
     }
#ifndef NO_RELAY
  :: atomic {
       known[1 - g] > known[g] && empty(fromPeer[g]) ->
       fromPeer[g]!known[1 - g]
     }
#endif
  od
}

proctype Gate(byte g) {
  byte revision;
  bool hasRestarted = false;
  end:
  do
  :: fromStore[g]?revision -> apply(g, revision)
  :: fromPeer[g]?revision -> apply(g, revision)
  :: !hasRestarted -> atomic { hasRestarted = true; known[g] = 0 }
  od
}

init {
  atomic {
    run Sources(0); run Sources(1);
    run Gate(0); run Gate(1)
  }
}

ltl settles { <> [] (known[0] == NEWEST && known[1] == NEWEST) }
