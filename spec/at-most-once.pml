/*
 * The core protocol of nutmeggauge: dispatch of one not-repeatable request
 * with an Idempotency-Key, sent by the caller twice (the first call and its
 * retry, through two gates), to agents that each keep an at-most-once ledger
 * in memory in front of their target.
 *
 * An agent answers NOTRUN only before it hands the request to its target;
 * once it has claimed the key it answers DONE or UNKNOWN (it may crash or
 * lose the reply after the target ran). A gate may also lose its link
 * before sending, which it treats as NOTRUN without the agent seeing it.
 * The home agent may die for good or restart with an empty ledger at any
 * moment; the caller sends its retry after it has made its key, so a
 * restarted agent can tell that the key is older than its ledger.
 *
 * Properties (assertions):
 *   - the target side runs the request at most once in all;
 *   - a gate that answers NOTRUN had no run of its own copy.
 *
 * Each define brings back a rule that was broken once; spin finds a double
 * run with it:
 *   KEYED_RETRY        a gate moves the request on after the home's NOTRUN
 *   HOME_AMONG_USABLE  the home is found among the targets usable now
 *   FORGET_RESTART     a restarted agent takes its empty ledger for the truth
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
     :: isDown[id] -> toGate[from]!UNKNOWN       /* the link closes after sending */
     :: !isDown[id] && claimed[id] ->
        toGate[from]!UNKNOWN                     /* ledger hit: never run twice */
     :: !isDown[id] && !claimed[id] && !ledgerKnows(id) ->
        toGate[from]!UNKNOWN                     /* the key is older than this ledger */
     :: !isDown[id] && !claimed[id] && ledgerKnows(id) ->
        if
        :: toGate[from]!NOTRUN                   /* refused before the target: provably not run */
        :: claimed[id] = true;                   /* claim written before the target sees it */
           if
           :: atomic { runs++; runsFor[from]++ };
              if
              :: toGate[from]!DONE
              :: toGate[from]!UNKNOWN            /* reply lost after the run */
              fi
           :: toGate[from]!UNKNOWN               /* crashed after the claim, before the run */
           fi
        fi
     fi
  od
}

/* Kills or restarts agents; an agent that restarts has lost its ledger. */
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
  :: answer = NOTRUN                             /* link down before sending */
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
     :: answer == UNKNOWN -> break               /* may have run: never resend */
     :: answer == NOTRUN ->
#ifdef KEYED_RETRY
        target++
#else
        answeredNotRun[g] = true; break          /* tell the caller; only the home agent may run it */
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
