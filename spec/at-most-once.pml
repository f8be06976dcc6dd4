/*
 * The core protocol of nutmeggauge: dispatch of one not-repeatable request
 * with an Idempotency-Key, sent by the caller twice (the first call and its
 * retry, through two gates), to agents that each keep an at-most-once
 * ledger in front of their target.
 *
 * An agent answers NOTRUN only before it hands the request to its target;
 * once it has claimed the key it answers DONE or UNKNOWN (it may crash or
 * lose the reply after the target ran). A gate may also lose its link
 * before sending, which it treats as NOTRUN without the agent seeing it.
 *
 * Properties (assertions):
 *   - the target side runs the request at most once in all;
 *   - a gate that answers NOTRUN had no run of its own copy.
 *
 * KEYED_RETRY models the rule that was broken: a gate that hears NOTRUN
 * from the key's home agent moves the request to the next agent. Spin
 * finds a double run with it; without it the check passes.
 */
#define NAGENTS 2
#define NGATES 2

mtype = {DISPATCH, DONE, NOTRUN, UNKNOWN};

chan toAgent[NAGENTS] = [NGATES] of {mtype, byte};
chan toGate[NGATES] = [1] of {mtype};

byte runs = 0;
byte runsFor[NGATES];
bool answeredNotRun[NGATES];

proctype Agent(byte id) {
  bool claimed = false;
  byte from;
  do
  :: toAgent[id]?DISPATCH,from ->
     if
     :: claimed -> toGate[from]!UNKNOWN          /* ledger hit: never run twice */
     :: !claimed ->
        if
        :: toGate[from]!NOTRUN                   /* refused before the target: provably not run */
        :: claimed = true;                       /* claim written before the target sees it */
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

proctype Gate(byte g) {
  byte target = 0;                               /* the key's home agent (rendezvous) */
  mtype answer;
  do
  :: target < NAGENTS ->
     if
     :: toAgent[target]!DISPATCH,g;
        toGate[g]?answer
     :: answer = NOTRUN                          /* link down before sending */
     fi;
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
    run Gate(0); run Gate(1)
  }
}

active proctype Monitor() {
  do
  :: assert(runs <= 1)
  od
}
