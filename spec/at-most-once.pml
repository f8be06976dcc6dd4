/*
 * Model of the dispatch protocol: one non-repeatable request with an
 * Idempotency-Key, which the caller sends twice (the first call and a retry,
 * through two gates) to agents. Each agent keeps an at-most-once ledger in
 * memory in front of its target.
 *
 * An agent answers NOTRUN only before it passes the request to its target.
 * Once the agent has claimed the key it answers DONE, or UNKNOWN if it crashes
 * or if the reply is lost after the run. A gate may also lose its link before
 * sending, which the gate treats as NOTRUN although the agent saw nothing.
 * The home agent may die for good or restart with an empty ledger at any time.
 * The key is created before the retry is sent, so a restarted agent can tell
 * that the key is older than its ledger.
 *
 * Properties (assertions):
 *   - the targets run the request at most once in total;
 *   - if a gate answers NOTRUN, its copy of the request has not run.
 *
 * Each define removes one rule of the protocol; spin then finds a double run:
 *   KEYED_RETRY        a gate retries at another agent after the home's NOTRUN
 *   HOME_AMONG_USABLE  the home is chosen among the targets usable now
 *   FORGET_RESTART     a restarted agent trusts its empty ledger
 */
#define NAGENTS 2
#define NGATES 2
#define HOME 0

#ifdef FORGET_RESTART
#define ledgerKnows(id) true
#else
#define ledgerKnows(id) (!hasRestarted[id])
#endif

mtype = {DISPATCH, DONE, NOTRUN, UNKNOWN};

chan toAgent[NAGENTS] = [NGATES] of {mtype, byte};
chan toGate[NGATES] = [1] of {mtype};

byte runs = 0;
byte runsFor[NGATES];
bool answeredNotRun[NGATES];
bool isDown[NAGENTS];
bool hasRestarted[NAGENTS];
bool claimed[NAGENTS];
bool keyMade = false;

proctype Agent(byte id) {
  byte from;
  do
  :: toAgent[id]?DISPATCH,from ->
     if
     :: isDown[id] -> toGate[from]!UNKNOWN       /* the link closes after the send */
     :: !isDown[id] && claimed[id] ->
        toGate[from]!UNKNOWN                     /* ledger hit: never runs twice */
     :: !isDown[id] && !claimed[id] && !ledgerKnows(id) ->
        toGate[from]!UNKNOWN                     /* the key is older than the ledger */
     :: !isDown[id] && !claimed[id] && ledgerKnows(id) ->
        if
        :: toGate[from]!NOTRUN                   /* refused before the target saw it: provably not run */
        :: claimed[id] = true;                   /* the claim is recorded before the target sees the request */
           if
           :: atomic { runs++; runsFor[from]++ };
              if
              :: toGate[from]!DONE
              :: toGate[from]!UNKNOWN            /* the reply is lost after the run */
              fi
           :: toGate[from]!UNKNOWN               /* crash after the claim, before the run */
           fi
        fi
     fi
  od
}

/* Kills the home agent, or restarts it with an empty ledger. */
proctype Faults() {
  if
  :: isDown[HOME] = true
  :: atomic { keyMade -> claimed[HOME] = false; hasRestarted[HOME] = true }
  :: skip
  fi
}

inline askAgent(target) {
  if
  :: toAgent[target]!DISPATCH,g;
     toGate[g]?answer
  :: answer = NOTRUN                             /* the link is down before the send */
  fi
}

proctype Gate(byte g) {
  byte target = HOME;
  mtype answer;
  keyMade = true;
#ifdef HOME_AMONG_USABLE
  if
  :: isDown[HOME] -> target = HOME + 1
  :: else -> skip
  fi;
#endif
  do
  :: target < NAGENTS ->
     askAgent(target);
     if
     :: answer == DONE -> break
     :: answer == UNKNOWN -> break               /* may have run: no retry */
     :: answer == NOTRUN ->
#ifdef KEYED_RETRY
        target++
#else
        answeredNotRun[g] = true; break          /* reported to the caller; only the home agent may run the request */
#endif
     fi
  :: target >= NAGENTS -> answeredNotRun[g] = true; break
  od;
  assert(!answeredNotRun[g] || runsFor[g] == 0)
}

init {
  atomic {
    run Agent(0); run Agent(1);
    run Gate(0); run Gate(1);
    run Faults()
  }
}

active proctype Monitor() {
  do
  :: assert(runs <= 1)
  od
}
